"""Writes logs as JSON lines."""

from __future__ import annotations

import json
import logging
import sys

QUIET_LIBRARIES = ("sanic", "aiohttp", "opentelemetry", "asyncio")


class JsonFormatter(logging.Formatter):
    """Formats each log record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line of JSON, without a line break."""
        entry = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S%z"),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return json.dumps(entry)


def configure_logs(level: str) -> None:
    """
    Send all log records to standard error as JSON lines.

    :param level: the lowest level that is logged; the libraries in
        ``QUIET_LIBRARIES`` log warnings and errors only.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for name in QUIET_LIBRARIES:
        logging.getLogger(name).setLevel(logging.WARNING)
