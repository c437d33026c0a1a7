"""Sends requests to engines over HTTP and validates their responses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import attrs
from multidict import CIMultiDict
from yarl import URL

from aspenbridge.client_connections import InvalidAnswerError, describe_error
from aspenbridge.ports import AnswerHead, AttemptError, BodyEnd, CallOutcome

from . import _names as names
from ._connections import ConnectionNote

if TYPE_CHECKING:
    from aspenbridge.ports import Clock, Headers, RelayedCall

# Headers that apply to a single connection. They are not forwarded; aiohttp
# sets its own.
HOP_BY_HOP_HEADERS = frozenset(
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
HTTP_MISDIRECTED_REQUEST = 421
STATUSES_WITHOUT_BODY = (204, 304)
READ_BYTES = 2 * 1024  # other requests are served between two such parts
LEAVING = "1"
EVENT_STREAM = "text/event-stream"


def end_to_end_headers(headers: Headers) -> Headers:
    """
    Return the headers that are forwarded.

    Headers that apply to a single connection are left out, and so are those
    that a ``Connection`` header lists.
    """
    connection_values = [
        value for name, value in headers if name.lower() == "connection"
    ]
    listed = {
        part.strip().lower() for text in connection_values for part in text.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | listed
    return tuple((n, v) for n, v in headers if n.lower() not in dropped)


@attrs.define
class EngineResponse:
    """An engine's response: its head, and a body that is still being read."""

    head: AnswerHead
    _response: aiohttp.ClientResponse
    _more_waits: bool = attrs.field(default=False, init=False)

    async def read(self) -> bytes:
        """
        Return the next part of the body; empty when the answer is complete.

        :raises AttemptError: when the body breaks off or can't be parsed, or
            its framing has more bytes than ``ClientConnection`` allows.
        """
        if self._more_waits:
            await asyncio.sleep(0)
        try:
            part = await self._response.content.read(READ_BYTES)
        except InvalidAnswerError as error:
            raise AttemptError(CallOutcome.BROKEN, describe_error(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise AttemptError(
                CallOutcome.BROKEN, describe_error(error), connection_lost=True
            ) from error
        self._more_waits = len(part) == READ_BYTES
        return part

    def close(self) -> None:
        """Close the connection to the engine."""
        self._response.close()


class HttpEngineCaller:
    """Sends requests to engines; accepts only responses to these requests."""

    def __init__(self, session: aiohttp.ClientSession, clock: Clock) -> None:
        self._session = session
        self._clock = clock

    async def open(
        self, engine_id: str, address: str, call: RelayedCall, answer_deadline_s: float
    ) -> EngineResponse:
        """
        Send a request and wait for the head of its response.

        A request whose deadline has passed is not sent.

        :raises AttemptError: when no valid response comes; ``outcome`` says
            whether the engine may have run the request.
        """
        now_s = self._clock.now_s()
        timeout_s = answer_deadline_s - now_s
        if min(timeout_s, call.deadline_s - now_s) <= 0:
            raise AttemptError(CallOutcome.EXPIRED, "deadline passed before the send")
        # The target as one path, since a URL loses an empty query.
        url = URL.build(
            scheme="http", authority=address, path=call.target, encoded=True
        )
        note = ConnectionNote()
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._session.request(
                    call.method,
                    url,
                    headers=self._headers(engine_id, call),
                    data=call.body or None,
                    allow_redirects=False,
                    trace_request_ctx=note,
                )
        except aiohttp.ClientConnectorError as error:
            raise AttemptError(CallOutcome.NOT_SENT, str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise AttemptError(CallOutcome.NOT_SENT, "connect timeout") from error
        except TimeoutError as error:
            raise _deadline_error(note) from error
        except (aiohttp.ClientConnectionError, OSError) as error:
            raise AttemptError(
                CallOutcome.BROKEN, describe_error(error), connection_lost=True
            ) from error
        except (aiohttp.ClientError, ValueError) as error:
            raise AttemptError(CallOutcome.BROKEN, describe_error(error)) from error
        return _check_response(response, call.request_id)

    def _headers(self, engine_id: str, call: RelayedCall) -> CIMultiDict[str]:
        headers = CIMultiDict(end_to_end_headers(call.headers))
        remaining_s = max(0.0, call.deadline_s - self._clock.now_s())
        headers["Host"] = call.host
        headers[names.REQUEST_ID] = call.request_id
        headers[names.TIME_BUDGET_MS] = str(int(remaining_s * 1000))
        headers[names.EXPECTED_ENGINE] = engine_id
        if call.resume_after is not None:
            headers[names.RESUME_AFTER] = str(call.resume_after)
        return headers


def _deadline_error(note: ConnectionNote) -> AttemptError:
    """Return the error of a request at whose deadline no answer had come."""
    if note.connected:
        return AttemptError(CallOutcome.BROKEN, "no answer in time")
    return AttemptError(CallOutcome.EXPIRED, "deadline passed while connecting")


def _check_response(
    response: aiohttp.ClientResponse, request_id: str
) -> EngineResponse:
    """
    Return the response if it is the engine's own answer to this request.

    The id of the request tells whose answer it is, also of a refusal: an
    engine may send one that it gave before once more.

    :raises AttemptError: REFUSED when the engine did not run the request,
        BROKEN when the response is not the engine's own, belongs to another
        request, or has a content encoding.
    """
    headers = response.headers
    leaves = _engine_leaves(response, request_id)
    try:
        if headers.get(names.REQUEST_ID, "") != request_id:
            raise AttemptError(
                CallOutcome.BROKEN,
                f"response belongs to another request than {request_id!r}",
            )
        if names.NOT_EXECUTED in headers or response.status == HTTP_MISDIRECTED_REQUEST:
            reason = f"refused with status {response.status}"
            raise AttemptError(CallOutcome.REFUSED, reason, engine_leaves=leaves)
        if names.SERVER_STAMP not in headers or "Content-Encoding" in headers:
            raise AttemptError(CallOutcome.BROKEN, "response is not the engine's own")
    except AttemptError:
        response.close()
        raise
    content_type = headers.get("Content-Type", "")
    head = AnswerHead(
        status=response.status,
        headers=end_to_end_headers(tuple(headers.items())),
        streams=content_type.partition(";")[0].strip().lower() == EVENT_STREAM,
        body_end=_body_end(response),
        engine_leaves=leaves,
    )
    return EngineResponse(head, response)


def _engine_leaves(response: aiohttp.ClientResponse, request_id: str) -> bool:
    """
    Whether the engine that was asked says in its response that it leaves.

    A misdirected request was answered by another engine.
    """
    headers = response.headers
    if response.status == HTTP_MISDIRECTED_REQUEST:
        return False
    if headers.get(names.REQUEST_ID, "") != request_id:
        return False
    header_names = (names.SERVER_LEAVING, names.SERVER_LEAVING_WITHOUT_PREFIX)
    return any(headers.get(name) == LEAVING for name in header_names)


def _body_end(response: aiohttp.ClientResponse) -> BodyEnd:
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return BodyEnd.CHUNKS
    has_length = "Content-Length" in response.headers
    if has_length or response.status in STATUSES_WITHOUT_BODY:
        return BodyEnd.LENGTH
    return BodyEnd.CONNECTION
