"""Structured lines on standard output: one for each decision, bounded."""

from __future__ import annotations

import fcntl
import logging
import os
import time
from typing import TYPE_CHECKING, Any

import msgspec

from ._metrics import LINES_DROPPED

if TYPE_CHECKING:
    from collections.abc import Callable

LINES_PER_S = 200  # ten times what the heaviest day measured for one host
BURST_LINES = 400
DECISION = "decision"

logger = logging.getLogger("aspenbridge.decisions")


def log_decision(what: str, **inputs: Any) -> None:
    """
    Log a decision with what it was decided by.

    :param what: the decision, in a few words that do not vary.
    :param inputs: ids, ages, versions and the outcome.
    """
    logger.info(what, extra={DECISION: inputs})


class LineHandler(logging.Handler):
    """
    Writes records as lines of JSON and never waits.

    Lines beyond the rate, and lines that the pipe has no room for, are
    dropped; the next line that is written tells how many.
    """

    def __init__(
        self, descriptor: int, now_s: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        self._descriptor = descriptor
        self._encoder = msgspec.json.Encoder()
        self._allowance = float(BURST_LINES)
        self._now_s = now_s
        self._refilled_s = now_s()
        self._rest = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        if not self._allowed(record):
            self._drop()
            return
        line = self._encoder.encode(self._fields(record)) + b"\n"
        if self._write(line):
            self.dropped = 0
        else:
            self._drop()

    def _drop(self) -> None:
        self.dropped += 1
        LINES_DROPPED.inc()

    def _allowed(self, record: logging.LogRecord) -> bool:
        now_s = self._now_s()
        gained = (now_s - self._refilled_s) * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + gained)
        self._refilled_s = now_s
        if record.levelno < logging.WARNING and self._allowance < 1:
            return False
        self._allowance = max(0.0, self._allowance - 1)
        return True

    def _fields(self, record: logging.LogRecord) -> dict[str, Any]:
        fields: dict[str, Any] = {
            "time_s": round(record.created, 3),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        fields |= getattr(record, DECISION, {})
        if record.exc_info:
            fields["exception"] = logging.Formatter().formatException(record.exc_info)
        if self.dropped:
            fields["lines_dropped"] = self.dropped
        return fields

    def _write(self, line: bytes) -> bool:
        data = self._rest + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        self._rest = data[written:]
        return True


def configure_decision_log(level: str) -> None:
    """Send all records to standard output as lines that never block."""
    handler = LineHandler(1)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for name in ("aiohttp", "asyncio"):
        logging.getLogger(name).setLevel(logging.WARNING)
