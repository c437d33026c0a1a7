"""A proxy in front of a server, whose open connections can go silent."""

from __future__ import annotations

import asyncio
import contextlib


class Link:
    """
    Forwards connections to a server.

    Connections that are open when `silence` is called forward nothing any
    more, in either direction, and are not closed. New ones work.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.open = 0
        self._generation = 0
        self._silent = asyncio.Event()

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Listen on a free port of 127.0.0.1."""
        server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        stack.callback(server.close)
        ip, port = server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"

    def silence(self) -> None:
        """Let all connections that are open now go silent for good."""
        self._generation += 1

    async def _forward(self, reader, writer) -> None:
        ip, port = self.target.split(":")
        server_reader, server_writer = await asyncio.open_connection(ip, int(port))
        generation = self._generation
        self.open += 1
        try:
            await asyncio.gather(
                self._pump(reader, server_writer, generation),
                self._pump(server_reader, writer, generation),
            )
        finally:
            self.open -= 1
            writer.close()
            server_writer.close()

    async def _pump(self, reader, writer, generation) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if generation != self._generation:
                    continue
                writer.write(data)
                await writer.drain()
        if generation == self._generation:
            writer.close()
