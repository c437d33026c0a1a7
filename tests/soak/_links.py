"""Proxies on loopback that put faults on the connections they forward."""

from __future__ import annotations

import asyncio
import os
import socket
from enum import Enum
from typing import Self

from tests.support.engine_scripts import LINGER_ON_ZERO_S

LAST_BYTES_S = 0.05  # in which the last bytes arrive before a connection ends
CHUNK_BYTES = 65536  # the most bytes that are forwarded at a time
# The delay of each chunk; shorter than the time limits of most calls.
SLOW_DELAY_S = 0.3


class LinkState(Enum):
    """How a link treats the bytes that it receives."""

    OPEN = "open"
    SLOW = "slow"  # forwards each chunk after a delay
    RESET = "reset"  # aborts open and new connections
    DROP_ALL = "drop all"  # receives bytes and forwards none
    DROP_RESPONSES = "drop responses"  # forwards requests, but no responses
    DOWN = "down"  # aborts open connections and refuses new ones


class Link:
    """Listens on a port of its own and forwards connections to a server."""

    def __init__(self, ip: str, server_port: int, server_ip: str = "127.0.0.1") -> None:
        self._ip = ip
        self._server = server_ip, server_port
        self._listener: asyncio.Server | None = None
        self._port = 0
        self._reopening: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._resets: dict[int, bool] = {}  # by port of the link towards the server
        self.state = LinkState.OPEN

    def reset_after_end(self, port: int, *, behind_data: bool) -> None:
        """
        Reset the client when the server ends the connection from this port.

        :param behind_data: whether what the server sends from now on is held
            back until then, so that the reset arrives together with it.
        """
        self._resets[port] = behind_data

    @property
    def address(self) -> str:
        """The IP address and port that clients connect to."""
        return f"{self._ip}:{self._port}"

    async def __aenter__(self) -> Self:
        await self._listen()
        return self

    async def _listen(self) -> None:
        listener = await asyncio.start_server(self._serve, self._ip, self._port)
        self._port = listener.sockets[0].getsockname()[1]
        self._listener = listener

    async def __aexit__(self, *error: object) -> None:
        assert self._listener is not None
        self._listener.close()
        self._abort()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def set(self, state: LinkState) -> None:
        """Change the state; some also abort the open connections."""
        before, self.state = self.state, state
        if state in (LinkState.RESET, LinkState.DOWN):
            self._abort()
        if state is LinkState.DOWN and before is not state:
            assert self._listener is not None
            self._listener.close()
        elif before is LinkState.DOWN and state is not before:
            self._reopening = asyncio.create_task(self._listen())

    def _abort(self) -> None:
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            if self.state is LinkState.RESET:
                _reset(writer)
                return
            server_reader, server_writer = await asyncio.open_connection(*self._server)
            self._writers.add(server_writer)
            try:
                await self._forward_both(reader, writer, server_reader, server_writer)
            finally:
                self._writers.discard(server_writer)
                server_writer.transport.abort()
        except OSError:
            pass  # one side has closed the connection; the other side is aborted
        finally:
            self._writers.discard(writer)
            self._serving.discard(task)
            writer.transport.abort()

    async def _forward_both(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server_reader: asyncio.StreamReader,
        server_writer: asyncio.StreamWriter,
    ) -> None:
        directions = [
            asyncio.create_task(self._forward_requests(reader, server_writer)),
            asyncio.create_task(
                self._forward_responses(server_reader, writer, server_writer)
            ),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)

    async def _forward_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._forward(reader, writer, (LinkState.DROP_ALL,))
        await asyncio.sleep(LAST_BYTES_S)

    async def _forward_responses(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server_writer: asyncio.StreamWriter,
    ) -> None:
        lossy = LinkState.DROP_ALL, LinkState.DROP_RESPONSES
        port = server_writer.get_extra_info("sockname")[1]
        lost, held = await self._forward(reader, writer, lossy, port)
        if held:
            # The transport would send it later than the reset.
            os.write(writer.get_extra_info("socket").fileno(), held)
        else:
            await asyncio.sleep(LAST_BYTES_S)
        # A network that loses data does not end the connection in order.
        if lost or self._resets.pop(port, None) is not None:
            _reset(writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        lossy_states: tuple[LinkState, ...],
        port: int | None = None,
    ) -> tuple[bool, bytes]:
        """Forward all data; return whether some was lost, and what is held."""
        lost, held = False, b""
        while data := await reader.read(CHUNK_BYTES):
            if self.state is LinkState.SLOW:
                await asyncio.sleep(SLOW_DELAY_S)
            if self.state in lossy_states:
                lost = True
            elif port is not None and self._resets.get(port):
                held += data
            else:
                writer.write(data)
                await writer.drain()
        return lost, held


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ON_ZERO_S)
    writer.transport.abort()
