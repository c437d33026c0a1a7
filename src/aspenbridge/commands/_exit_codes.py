"""Exit codes of the commands, the same for every command."""

from __future__ import annotations

DONE = 0
FAILED = 1
BAD_SETTINGS = 3  # the settings file has errors
UNREACHABLE = 4  # a host, or for serve the platform, can't be reached
FAULT = 5  # a background task of the host failed
REFUSED = 6  # the host refused the call; the message has the result code
CONFLICT = 7  # another change was accepted first, or no such base revision
