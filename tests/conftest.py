"""
Marks the tests that KNOWN-RED.txt lists as expected failures.

A listed test that passes fails the run. The listed tests are printed.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from _pytest.terminal import TerminalReporter

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def _known_red() -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(TEST_PREFIX) for line in lines if line.startswith(TEST_PREFIX)
    ]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red = set(_known_red())
    for item in items:
        if item.nodeid in known_red:
            reason = "listed in KNOWN-RED.txt"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    for name in _known_red():
        terminalreporter.write_line(f"KNOWN RED {name}")
