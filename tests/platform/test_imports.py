from __future__ import annotations

import subprocess
import sys

UNUSED = (
    "aspenbridge.peers",
    "aspenbridge.membership",
    "aspenbridge.scheduling",
    "aspenbridge.configuration",
    "aspenbridge.host",
    "capnp",
    "sanic",
    "opentelemetry",
)


def test_process_on_the_platform_loads_nothing_that_the_platform_replaces():
    code = (
        "import sys, aspenbridge.platform; "
        f"print([m for m in {UNUSED!r} if m in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]"
