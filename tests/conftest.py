"""
Marks the tests that KNOWN-RED.txt lists as expected failures.

A listed test that passes fails the run, unless it is listed as one that fails
now and then. The listed tests are printed.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from _pytest.terminal import TerminalReporter

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "
FLAKY_PREFIX = "flaky test: "  # of one that fails now and then


def _known_red(prefix: str) -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line.removeprefix(prefix) for line in lines if line.startswith(prefix)]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red, flaky = set(_known_red(TEST_PREFIX)), set(_known_red(FLAKY_PREFIX))
    for item in items:
        if item.nodeid in known_red | flaky:
            reason, strict = "listed in KNOWN-RED.txt", item.nodeid in known_red
            item.add_marker(pytest.mark.xfail(reason=reason, strict=strict))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    for name in _known_red(TEST_PREFIX) + _known_red(FLAKY_PREFIX):
        terminalreporter.write_line(f"KNOWN RED {name}")
