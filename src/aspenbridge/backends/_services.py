"""HTTP client for plain services, which run no model."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from aspenbridge.client_connections import read_body
from aspenbridge.ports import CallOutcome, ServiceFailure, ServiceReply
from aspenbridge.telemetry import TRACEPARENT, current_traceparent

from ._session import never_sent

if TYPE_CHECKING:
    from aspenbridge.ports import Clock, ServiceCall

MAX_REPLY_BYTES = 16 * 1024 * 1024


class HttpServices:
    """
    Sends calls to plain services, without retries of its own.

    aiohttp resends a GET, PUT or DELETE once when a reused connection closes
    before the response.
    """

    def __init__(self, session: aiohttp.ClientSession, clock: Clock) -> None:
        self._session = session
        self._clock = clock

    async def call(self, call: ServiceCall, deadline_s: float) -> ServiceReply:
        """
        Make a call and return its whole reply; redirects are not followed.

        :param deadline_s: when the call times out, on the monotonic clock.
        :raises ServiceFailure: when no whole reply arrives in time; its
            outcome tells whether the request may have been sent.
        """
        remaining_s = max(0.001, deadline_s - self._clock.now_s())
        timeout = aiohttp.ClientTimeout(total=remaining_s)
        url = f"http://{call.address}{call.path}"
        try:
            async with self._session.request(
                call.method,
                url,
                data=call.body,
                headers=_request_headers(call),
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await read_body(response, MAX_REPLY_BYTES)
                return ServiceReply(response.status, body, response.content_type)
        except (aiohttp.ClientError, TimeoutError) as error:
            outcome = CallOutcome.NOT_SENT if never_sent(error) else CallOutcome.BROKEN
            reason = type(error).__name__
            raise ServiceFailure(call.address, outcome, reason) from error


def _request_headers(call: ServiceCall) -> dict[str, str]:
    headers = {**call.headers, "x-call-id": call.call_id}
    traceparent = current_traceparent()
    if traceparent:
        headers[TRACEPARENT] = traceparent
    return headers
