"""Load and experiment tool; not part of the shipped program."""

from __future__ import annotations
