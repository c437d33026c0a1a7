"""Starts hosts and stand-ins as processes on loopback."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import psutil

from aspenbridge.loop import listening_socket

if TYPE_CHECKING:
    from collections.abc import Mapping
    from types import TracebackType

START_LIMIT_S = 15.0
STOP_LIMIT_S = 3.0
LOOPBACK = "127.0.0.1"


@attrs.define
class Processes:
    """
    Starts processes, and ends those that it started on exit.

    :ivar running: the processes that were started and not stopped, by name;
        some may have ended by themselves.
    """

    first_port: int
    directory: Path = attrs.field(init=False)
    running: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)
    _stack: ExitStack = attrs.field(factory=ExitStack)
    _next_port: int = attrs.field(init=False)

    def __enter__(self) -> Processes:
        self._next_port = self.first_port
        name = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.directory = Path(name)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for name in list(self.running):
            self.stop(name)
        self._stack.close()

    def next_port(self) -> int:
        """Return the next free port after the last one returned."""
        while True:
            self._next_port += 1
            try:
                listening_socket(LOOPBACK, self._next_port).close()
            except OSError:
                continue
            return self._next_port

    def start(
        self, name: str, *arguments: str, variables: Mapping[str, str] | None = None
    ) -> None:
        """
        Run a module of this environment; its output goes to a log file.

        :param variables: environment variables to set.
        """
        log = self._stack.enter_context((self.directory / f"{name}.log").open("wb"))
        self.running[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=log,
            stderr=log,
            env=os.environ | dict(variables or {}),
        )

    def log(self, name: str) -> str:
        """Return the output of a process."""
        return (self.directory / f"{name}.log").read_text(errors="replace")

    def exit_codes(self) -> dict[str, int]:
        """Return the exit code of each process that has ended."""
        ended = ((name, process.poll()) for name, process in self.running.items())
        return {name: code for name, code in ended if code is not None}

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.running[name].send_signal(number)

    def stop(self, name: str) -> None:
        """End one process, and kill it if it does not end in time."""
        process = self.running.pop(name)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        try:
            process.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait(STOP_LIMIT_S)

    def cpu_s(self, name: str) -> float:
        """Return the processor time that a process has used, in seconds."""
        times = psutil.Process(self.running[name].pid).cpu_times()
        return float(times.user + times.system)

    def resident_bytes(self, name: str) -> int:
        """Return the resident memory of a process."""
        memory = psutil.Process(self.running[name].pid).memory_info()
        return int(memory.rss)


async def wait_listening(port: int, ip: str = LOOPBACK) -> None:
    """
    Wait until a process listens on a port.

    :raises TimeoutError: if nothing does within ``START_LIMIT_S``.
    """
    async with asyncio.timeout(START_LIMIT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection(ip, port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
