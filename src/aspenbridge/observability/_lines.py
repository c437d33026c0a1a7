"""Structured, rate-limited log lines on standard output, one per decision."""

from __future__ import annotations

import fcntl
import json
import logging
import os
import time
from typing import TYPE_CHECKING, Any

import msgspec

from ._metrics import LINES_DROPPED

if TYPE_CHECKING:
    from collections.abc import Callable

LINES_PER_S = 200  # ten times the rate of one host on its busiest day
BURST_LINES = 400
MAX_LOGGED_PARTS = 16  # of one prompt
DECISION = "decision"  # the attribute of a log record that holds the inputs

logger = logging.getLogger("aspenbridge.decisions")


def log_decision(what: str, **inputs: Any) -> None:
    """
    Log a decision together with its inputs.

    :param what: the decision, in a few constant words.
    :param inputs: ids, ages, versions and the outcome; keys of the log line.
    """
    logger.info(what, extra={DECISION: inputs})


class LineHandler(logging.Handler):
    """
    Writes records as lines of JSON and never blocks.

    Lines beyond the rate limit and lines that don't fit into the pipe are
    dropped; the next line that is written contains their number. Warnings and
    errors are exempt from the rate limit.
    """

    def __init__(
        self, descriptor: int, now_s: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        self._descriptor = descriptor
        self._encoder = msgspec.json.Encoder()
        self._available_lines = float(BURST_LINES)
        self._now_s = now_s
        self._refilled_s = now_s()
        self._unwritten = b""  # the end of a line that was written in part
        self.dropped = 0  # lines since the last one that was written

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        if not self._try_spend_line(record):
            self._drop()
            return
        if self._write(self._encode(self._fields(record)) + b"\n"):
            self.dropped = 0
        else:
            self._drop()

    def _drop(self) -> None:
        self.dropped += 1
        LINES_DROPPED.inc()

    def _try_spend_line(self, record: logging.LogRecord) -> bool:
        """
        Use one line of the rate limit; return False if none is available.

        Returns True for every warning and error.
        """
        now_s = self._now_s()
        refill = (now_s - self._refilled_s) * LINES_PER_S
        self._available_lines = min(BURST_LINES, self._available_lines + refill)
        self._refilled_s = now_s
        if record.levelno < logging.WARNING and self._available_lines < 1:
            return False
        self._available_lines = max(0.0, self._available_lines - 1)
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

    def _encode(self, fields: dict[str, Any]) -> bytes:
        try:
            return self._encoder.encode(fields)
        except UnicodeEncodeError:
            # A caller's bytes that are not UTF-8 are kept as lone surrogates.
            return json.dumps(fields).encode()

    def _write(self, line: bytes) -> bool:
        """Write as much of a line as fits; return False if nothing does."""
        data = self._unwritten + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        self._unwritten = data[written:]
        return True


def configure_logging(level: str) -> None:
    """
    Write all log records to standard output as JSON, without blocking.

    Records of aiohttp and asyncio are written from the level of warnings on.
    """
    handler = LineHandler(1)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for name in ("aiohttp", "asyncio"):
        logging.getLogger(name).setLevel(logging.WARNING)
