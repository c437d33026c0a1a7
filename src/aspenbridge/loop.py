"""
The event loop and the listening sockets of a host.

The loop is a uvloop loop that resolves numeric addresses only, so that the
host needs no thread pool and stays in one thread.
"""

from __future__ import annotations

import asyncio
import ctypes
import fcntl
import gc
import os
import socket
import sys
import termios
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine

# Keeps libuv from using io_uring; libuv reads the variable once, before uvloop
# creates the first loop.
os.environ["UV_USE_IO_URING"] = "0"
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
        Return the address of a numeric host; names are not resolved.

        :raises OSError: if the host is not a numeric IP address.
        """
        address = host.decode() if isinstance(host, bytes) else host
        address_family = socket.AF_INET6 if ":" in address else socket.AF_INET
        socket.inet_pton(address_family, address)
        socket_type = type or socket.SOCK_STREAM
        return [(address_family, socket_type, proto, "", (address, int(port)))]


def run_on_loop(main: Coroutine[Any, Any, int]) -> int:
    """
    Run a coroutine on a new ``NumericAddressLoop``.

    :param main: the coroutine; its result becomes the exit code.
    :return: what the coroutine returned.
    """
    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(main)


def tune_garbage_collector() -> None:
    """
    Exclude the objects that exist now from later garbage collections.

    A full collection that visits all modules of a host pauses every stream.
    Call this once, after the imports. It also makes collections rarer.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def return_large_blocks() -> bool:
    """
    Have the allocator return each large block to the system once it is free.

    Otherwise it soon keeps blocks of up to 32 MiB for later use, and bodies
    that grow side by side leave gaps between them that no other one fits.

    :return: False if the C library has no such option.
    """
    try:
        return bool(
            ctypes.CDLL(None).mallopt(MALLOPT_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
        )
    except (AttributeError, OSError):
        return False


def listening_socket(
    host: str, port: int, *, receive_buffer_bytes: int = 0
) -> socket.socket:
    """
    Return a bound, listening, non-blocking TCP socket.

    :param host: a numeric IP address.
    :param port: the port; 0 for any free port.
    :param receive_buffer_bytes: what the kernel keeps of each connection until
        it is read; 0 for the kernel's own choice.
    :raises OSError: if the address is in use or not one of this machine.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if receive_buffer_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    sock.setblocking(False)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return sock


def pending_error(transport: asyncio.BaseTransport) -> OSError | None:
    """
    Return and clear the error of a socket that no call has reported yet.

    When a reset arrives together with data, libuv reports the data and then an
    orderly end of the connection; the reset stays pending on the socket.
    """
    sock = transport.get_extra_info("socket")
    number = 0 if sock is None else sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return OSError(number, os.strerror(number)) if number else None


def undelivered_bytes(transport: asyncio.WriteTransport) -> int:
    """
    Return how many written bytes the kernel of the other end has not got yet.

    A reset of the connection empties the queue of the kernel, so that
    ``pending_error`` has to be asked after this.
    """
    queued_bytes = bytearray(SIZE_OF_INT)
    sock = transport.get_extra_info("socket")
    if sock is not None:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued_bytes)
    in_kernel = int.from_bytes(queued_bytes, sys.byteorder)
    return transport.get_write_buffer_size() + in_kernel


SIZE_OF_INT = 4
MALLOPT_MMAP_THRESHOLD = -3  # M_MMAP_THRESHOLD of malloc.h
LARGE_BLOCK_BYTES = 128 * 1024
LISTEN_BACKLOG = 1024
# Allocations before a collection of the youngest generation, then collections
# of each generation before the next older one is collected.
GC_THRESHOLDS = (100_000, 50, 100)

__all__ = [
    "NumericAddressLoop",
    "listening_socket",
    "pending_error",
    "return_large_blocks",
    "run_on_loop",
    "tune_garbage_collector",
    "undelivered_bytes",
]
