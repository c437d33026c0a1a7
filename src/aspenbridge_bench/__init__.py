"""Load generation and measurements; not part of the installed program."""

from __future__ import annotations
