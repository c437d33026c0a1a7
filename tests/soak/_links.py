"""Loopback links between a host and what it calls, with faults."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Self

CHUNK_BYTES = 65536
DELAY_S = 0.3  # a slow link; the time limits of most calls are longer


class LinkState(Enum):
    """What a link does to the bytes on it."""

    OPEN = "open"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"  # takes bytes and passes nothing on
    DEAF = "deaf"  # requests pass, answers do not


class Link:
    """Listens on an address and passes connections on to a server."""

    def __init__(self, ip: str, server_port: int, server_ip: str = "127.0.0.1") -> None:
        self._ip = ip
        self._server = server_ip, server_port
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self.state = LinkState.OPEN

    @property
    def address(self) -> str:
        """Where callers connect."""
        assert self._listener is not None
        port = self._listener.sockets[0].getsockname()[1]
        return f"{self._ip}:{port}"

    async def __aenter__(self) -> Self:
        self._listener = await asyncio.start_server(self._serve, self._ip, 0)
        return self

    async def __aexit__(self, *error: object) -> None:
        assert self._listener is not None
        self._listener.close()
        self._abort()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def set(self, state: LinkState) -> None:
        """Change what the link does; a reset also ends what is open."""
        self.state = state
        if state is LinkState.RESET:
            self._abort()

    def _abort(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            if self.state is LinkState.RESET:
                return
            server_reader, server_writer = await asyncio.open_connection(*self._server)
            self._writers.add(server_writer)
            try:
                await self._pass_both(reader, writer, server_reader, server_writer)
            finally:
                self._writers.discard(server_writer)
                server_writer.transport.abort()
        except OSError:
            pass  # either side is gone, and so is the connection
        finally:
            self._writers.discard(writer)
            self._serving.discard(task)
            writer.transport.abort()

    async def _pass_both(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server_reader: asyncio.StreamReader,
        server_writer: asyncio.StreamWriter,
    ) -> None:
        ways = [
            asyncio.create_task(self._pass(reader, server_writer, answers=False)),
            asyncio.create_task(self._pass(server_reader, writer, answers=True)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.state is LinkState.SLOW:
                await asyncio.sleep(DELAY_S)
            lost = self.state is LinkState.SILENT
            if lost or (answers and self.state is LinkState.DEAF):
                continue
            writer.write(data)
            await writer.drain()
        # What was written last is still on its way.
        await asyncio.sleep(0.05)
