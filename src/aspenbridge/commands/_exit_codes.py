"""Exit codes of the commands."""

from __future__ import annotations

DONE = 0
FAILED = 1
BAD_SETTINGS = 3
UNREACHABLE = 4
FAULT = 5  # a background task of the host died
REFUSED = 6  # the host refused, and the message holds its numbered code
CONFLICT = 7  # another operator's change came first
