"""The event loop of a host: uvloop, numeric addresses only, one thread."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine

os.environ["UV_USE_IO_URING"] = "0"  # before uvloop makes its first loop
import uvloop


class NumericAddressLoop(uvloop.Loop):
    """A uvloop loop that resolves numeric addresses without a thread pool."""

    async def getaddrinfo(  # type: ignore[override]
        self,
        host: str | bytes,
        port: int | str,
        *,
        family: int = 0,
        type: int = 0,
        proto: int = 0,
        flags: int = 0,
    ) -> list[tuple[int, int, int, str, tuple[str, int]]]:
        """
        Return the one address that a numeric host stands for.

        :raises OSError: when the host is not an IP number.
        """
        text = host.decode() if isinstance(host, bytes) else host
        kind = socket.AF_INET6 if ":" in text else socket.AF_INET
        socket.inet_pton(kind, text)
        stream = type or socket.SOCK_STREAM
        return [(kind, stream, proto, "", (text, int(port)))]


def run_on_loop(main: Coroutine[Any, Any, int]) -> int:
    """
    Run a coroutine on a new loop of this kind.

    :param main: the coroutine; its result becomes the exit code.
    :return: what the coroutine returned.
    """
    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(main)


def tune_garbage_collector() -> None:
    """
    Keep what a started process holds out of later garbage collections.

    A full collection over the modules of a host stops every stream; call
    this once, after the imports.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def listening_socket(host: str, port: int) -> socket.socket:
    """
    Return a bound, listening, non-blocking TCP socket.

    :param host: an IP number.
    :param port: the port, 0 for any free one.
    :raises OSError: when the address is in use or not of this machine.
    """
    kind = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(kind, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return sock


LISTEN_BACKLOG = 1024
GC_THRESHOLDS = (100_000, 50, 100)  # objects, then collections of the younger

__all__ = [
    "NumericAddressLoop",
    "listening_socket",
    "run_on_loop",
    "tune_garbage_collector",
]
