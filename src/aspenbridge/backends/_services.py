"""Calls to plain services over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from aspenbridge.ports import CallOutcome, ServiceFailure, ServiceReply
from aspenbridge.telemetry import TRACEPARENT, current_traceparent

from ._session import never_sent

if TYPE_CHECKING:
    from aspenbridge.ports import Clock, ServiceCall


class HttpServices:
    """The service client of a host; it never repeats a call by itself."""

    def __init__(self, session: aiohttp.ClientSession, clock: Clock) -> None:
        self._session = session
        self._clock = clock

    async def call(self, call: ServiceCall, deadline_s: float) -> ServiceReply:
        """
        Make one call, once.

        :raises ServiceFailure: telling whether any byte went out.
        """
        left_s = max(0.001, deadline_s - self._clock.now_s())
        timeout = aiohttp.ClientTimeout(total=left_s)
        url = f"http://{call.address}{call.path}"
        try:
            async with self._session.request(
                call.method,
                url,
                data=call.body,
                headers=_headers(call),
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await response.read()
                return ServiceReply(response.status, body, response.content_type)
        except (aiohttp.ClientError, TimeoutError) as error:
            outcome = CallOutcome.NOT_SENT if never_sent(error) else CallOutcome.BROKEN
            reason = type(error).__name__
            raise ServiceFailure(call.address, outcome, reason) from error


def _headers(call: ServiceCall) -> dict[str, str]:
    headers = {**call.headers, "x-call-id": call.call_id}
    traceparent = current_traceparent()
    if traceparent:
        headers[TRACEPARENT] = traceparent
    return headers
