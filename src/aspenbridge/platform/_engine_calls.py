"""Requests to engines over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import attrs
from multidict import CIMultiDict
from yarl import URL

from aspenbridge.ports import AnswerHead, AttemptError, CallOutcome

from . import _names as names

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aspenbridge.ports import Clock, Headers, RelayedCall

# Headers that concern one connection; the client library makes its own.
PER_CONNECTION = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
MISDIRECTED = 421


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that are passed on."""
    lists = [value for name, value in headers if name.lower() == "connection"]
    named = {part.strip().lower() for text in lists for part in text.split(",")}
    dropped = PER_CONNECTION | named
    return tuple((n, v) for n, v in headers if n.lower() not in dropped)


@attrs.define
class HttpAnswer:
    """An engine's answer that is being read."""

    head: AnswerHead
    _response: aiohttp.ClientResponse

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise AttemptError(CallOutcome.BROKEN, repr(error)) from error

    def close(self) -> None:
        """End the connection."""
        self._response.close()


class HttpEngineCaller:
    """Sends requests to engines; checks that an answer is their own."""

    def __init__(self, session: aiohttp.ClientSession, clock: Clock) -> None:
        self._session = session
        self._clock = clock

    async def open(
        self, engine_id: str, address: str, call: RelayedCall, answer_deadline_s: float
    ) -> HttpAnswer:
        """Send a request and wait for the head of its answer."""
        url = URL(f"http://{address}{call.target}", encoded=True)
        limit_s = answer_deadline_s - self._clock.now_s()
        try:
            async with asyncio.timeout(limit_s):
                response = await self._session.request(
                    call.method,
                    url,
                    headers=self._headers(engine_id, call),
                    data=call.body or None,
                    allow_redirects=False,
                )
        except aiohttp.ClientConnectorError as error:
            raise AttemptError(CallOutcome.NOT_SENT, str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise AttemptError(CallOutcome.NOT_SENT, "connect timeout") from error
        except TimeoutError as error:
            raise AttemptError(CallOutcome.BROKEN, "no answer in time") from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise AttemptError(CallOutcome.BROKEN, repr(error)) from error
        return _checked(response, call.request_id)

    def _headers(self, engine_id: str, call: RelayedCall) -> CIMultiDict[str]:
        headers = CIMultiDict(end_to_end(call.headers))
        left_s = max(0.0, call.deadline_s - self._clock.now_s())
        headers["Host"] = call.host
        headers[names.REQUEST_ID] = call.request_id
        headers[names.DEADLINE] = str(int(left_s * 1000))
        headers[names.EXPECTED_ENGINE] = engine_id
        if call.resume_after is not None:
            headers[names.RESUME_AFTER] = str(call.resume_after)
        return headers


def _checked(response: aiohttp.ClientResponse, request_id: str) -> HttpAnswer:
    """
    Return the answer if it is one to this request.

    :raises AttemptError: when the engine did not run it, or sent bytes that
        belong to no request.
    """
    headers = response.headers
    try:
        if names.NOT_EXECUTED in headers or response.status == MISDIRECTED:
            reason = f"turned away with {response.status}"
            raise AttemptError(CallOutcome.REFUSED, reason)
        if headers.get(names.REQUEST_ID) != request_id:
            raise AttemptError(CallOutcome.BROKEN, "answer to another request")
        if names.STAMP not in headers or "Content-Encoding" in headers:
            raise AttemptError(CallOutcome.BROKEN, "not the engine's own answer")
    except AttemptError:
        response.close()
        raise
    content_type = headers.get("Content-Type", "")
    head = AnswerHead(
        status=response.status,
        headers=end_to_end(tuple(headers.items())),
        streams=content_type.startswith("text/event-stream"),
    )
    return HttpAnswer(head, response)
