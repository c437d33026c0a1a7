"""Calls between hosts: Cap'n Proto messages in the bodies of HTTP requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp
import capnp
from sanic import HTTPResponse, Request, Sanic
from sanic.config import Config

from aspenbridge.bounded_requests import (
    BodyLimits,
    BoundedProtocol,
    BoundedRequest,
    bound_requests,
)
from aspenbridge.client_connections import read_body
from aspenbridge.loop import listening_socket
from aspenbridge.ports import PeerUnreachableError
from aspenbridge.resources import StackOwner
from aspenbridge.result_codes import ProblemError

from ._codec import decode_message, encode_message

if TYPE_CHECKING:
    from aspenbridge.ports import Clock, PeerAddress, PeerHandler

    from ._messages import Message

PATH = "/peer"
BODY_TYPE = "application/octet-stream"
OK = 200
BAD_REQUEST = 400
MAX_MESSAGE_BYTES = 16_000_000
KEEP_ALIVE_S = 3600
MAX_CALL_S = 600.0
READ_LIMIT_S = 20.0  # for a message, which is sent at once


class PeerServer(StackOwner):
    """
    Serves the calls of other hosts, while entered as a context manager.

    :param handler: replies to each message.
    :param address: where to listen.
    """

    def __init__(self, handler: PeerHandler, address: PeerAddress) -> None:
        super().__init__()
        self._handler = handler
        self._address = address

    async def __aenter__(self) -> PeerServer:
        sock = listening_socket(*self._address)
        self._stack.callback(sock.close)
        server = await self._app().create_server(
            sock=sock, protocol=BoundedProtocol, return_asyncio_server=True
        )
        if server is None:
            raise RuntimeError("sanic created no server for peers")
        await server.startup()  # type: ignore[no-untyped-call]
        await server.start_serving()  # type: ignore[no-untyped-call]
        self._stack.callback(server.close)
        return self

    def _app(self) -> Sanic[Any, Any]:
        settings: dict[str, str | bool | int | float | None] = {
            "MOTD": False,
            "ACCESS_LOG": False,
            "REQUEST_MAX_SIZE": MAX_MESSAGE_BYTES,
            "RESPONSE_TIMEOUT": MAX_CALL_S,
            "KEEP_ALIVE_TIMEOUT": KEEP_ALIVE_S,
            # Sanic's touch-up rewrites classes that all apps share, so it only
            # works if the process has one app.
            "TOUCHUP": False,
        }
        name = f"aspenbridge-peers-{id(self)}"
        app = Sanic(
            name,
            config=Config(settings),
            configure_logging=False,
            request_class=BoundedRequest,
        )
        limits = BodyLimits(MAX_MESSAGE_BYTES, MAX_MESSAGE_BYTES, READ_LIMIT_S)
        bound_requests(app, limits)
        app.error_handler.add(ProblemError, _refuse)
        app.add_route(self._answer, PATH, methods=["POST"])
        return app

    async def _answer(self, request: Request) -> HTTPResponse:
        try:
            message = decode_message(request.body)
        except (capnp.KjException, KeyError, ValueError) as error:
            return HTTPResponse(f"the message can't be decoded: {error}", BAD_REQUEST)
        reply = await self._handler.handle(message)
        return HTTPResponse(encode_message(reply), OK, content_type=BODY_TYPE)


async def _refuse(_: Request, error: ProblemError) -> HTTPResponse:
    return HTTPResponse(error.problem.detail, error.problem.status)


class HttpPeers:
    """Sends messages to other hosts over the connections of a session."""

    def __init__(self, session: aiohttp.ClientSession, clock: Clock) -> None:
        self._session = session
        self._clock = clock

    async def call(
        self, address: PeerAddress, message: Message, deadline_s: float
    ) -> Message:
        """
        Send a message and return the reply.

        :param deadline_s: when to stop waiting, in seconds of ``Clock.now_s``.
        :raises PeerUnreachableError: if no valid reply came by the deadline.
        """
        remaining_s = max(0.001, deadline_s - self._clock.now_s())
        timeout = aiohttp.ClientTimeout(total=remaining_s)
        url = f"http://{address}{PATH}"
        body = encode_message(message)
        try:
            async with self._session.post(
                url, data=body, timeout=timeout, allow_redirects=False
            ) as response:
                reply = await read_body(response, MAX_MESSAGE_BYTES)
                if response.status != OK:
                    reason = f"status {response.status}"
                    raise PeerUnreachableError(address, reason, sent=True)
                return decode_message(reply)
        except aiohttp.ClientConnectorError as error:
            reason = type(error).__name__
            raise PeerUnreachableError(address, reason, sent=False) from error
        except (aiohttp.ClientError, TimeoutError, capnp.KjException) as error:
            reason = type(error).__name__
            raise PeerUnreachableError(address, reason, sent=True) from error


__all__ = ["HttpPeers", "PeerServer"]
