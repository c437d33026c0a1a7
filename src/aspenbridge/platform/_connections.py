"""Outgoing connections that notice a dead path."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.client_reqrep import ClientRequest

CONNECT_LIMIT_S = 0.15  # two round trips between regions, and the handshake
# An acknowledgement takes 60 ms between regions; a path is dead without one.
UNACKNOWLEDGED_LIMIT_MS = 1000
KEEPALIVE_PROBE_S = 1  # the shortest that the socket option takes
KEEPALIVE_PROBES = 2
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


class EngineConnection(ResponseHandler):
    """
    A connection that carries one request to an engine.

    It is reset when it is closed: a close would first send what is buffered,
    and the engine would begin a request that nobody waits for. A body without
    a length is not complete when the engine resets the connection; the library
    takes any end of the connection for the end of such a body.
    """

    def close(self) -> None:
        """Reset the connection."""
        self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Break the body that is being read off when there was an error."""
        body = self._payload
        if exc is not None and body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)


class NumericConnector(aiohttp.TCPConnector):
    """
    Connects to IP numbers through the loop alone.

    The library's way connects a socket first and hands it to the loop then;
    a cancellation in between closes the socket under the loop's transport,
    and the next connection gets its descriptor.
    """

    make_protocol: Callable[[], ResponseHandler] | None = None

    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos: list[Any],
        req: ClientRequest,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **kwargs: Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        ip, port = addr_infos[0][4][:2]
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                transport, protocol = await self._loop.create_connection(
                    self.make_protocol or args[0], ip, port
                )
        except TimeoutError as error:
            raise aiohttp.ConnectionTimeoutError(f"connect to {ip}:{port}") from error
        except OSError as error:
            raise client_error(req.connection_key, error) from error
        sock = transport.get_extra_info("socket")
        for level, name, value in SOCKET_OPTIONS:
            sock.setsockopt(level, name, value)
        return transport, protocol


def open_store_session() -> aiohttp.ClientSession:
    """Return a session that keeps its connections."""
    return aiohttp.ClientSession(
        connector=NumericConnector(limit=0), cookie_jar=aiohttp.DummyCookieJar()
    )


def open_engine_session() -> aiohttp.ClientSession:
    """
    Return a session that uses each connection for one request.

    An engine may answer a request twice, or close a kept connection as the
    next request arrives; neither can reach another request this way.
    """
    connector = NumericConnector(limit=0, force_close=True)
    loop = asyncio.get_running_loop()
    connector.make_protocol = lambda: EngineConnection(loop)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None),
    )
