"""Imports of the process that runs on the platform."""

from __future__ import annotations

import subprocess
import sys

REPLACED_MODULES = (
    "aspenbridge.peers",
    "aspenbridge.membership",
    "aspenbridge.scheduling",
    "aspenbridge.configuration",
    "aspenbridge.host",
    "capnp",
    "sanic",
    "opentelemetry",
)


def test_platform_process_does_not_import_what_the_platform_replaces():
    code = (
        "import sys, aspenbridge.platform._serve; "
        f"print([m for m in {REPLACED_MODULES!r} if m in sys.modules])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"
