"""Writes what was sent, answered and run."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
import sys
import time
import traceback
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

LIMIT_S = 110.0  # a script may run for 120 seconds


class Record:
    """The file ``record.txt`` of a case, one line for each event."""

    def __init__(self, directory: Path) -> None:
        self._path = directory / "record.txt"
        self._begun_s = time.monotonic()

    def __enter__(self) -> Self:
        self._file = self._path.open("w", encoding="utf-8")
        return self

    def __exit__(self, *_: object) -> None:
        self._file.close()

    def now_s(self) -> float:
        """Return the time since the begin."""
        return time.monotonic() - self._begun_s

    def line(self, event: str, **fields: object) -> None:
        """Write one event."""
        text = json.dumps(fields, default=str)
        self._file.write(f"{self.now_s():8.3f} {event} {text}\n")
        self._file.flush()


def disturbed() -> bool:
    """Whether the case runs with its disruption; ``run.sh`` passes TROUBLE."""
    return sys.argv[1:] != ["0"]


def show(text: str) -> None:
    """Print one line."""
    sys.stdout.write(text + "\n")


def run_case(
    main: Callable[[Record], Coroutine[Any, Any, bool | None]], file: str
) -> None:
    """
    Run a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param main: returns whether the rule held, or None if that can't be told.
    """
    # Hosts leave connections in the middle of answers; that is no finding.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    code = 2
    try:
        with Record(Path(file).parent) as record:
            held = asyncio.run(_run_bounded(main(record)))
            code = 2 if held is None else int(not held)
            record.line("exit", code=code, disturbed=disturbed())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
    sys.exit(code)


async def _run_bounded(case: Coroutine[Any, Any, bool | None]) -> bool | None:
    """Run a case; a signal or a time-out ends what it started, too."""
    task = asyncio.ensure_future(case)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, LIMIT_S)
