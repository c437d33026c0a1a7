"""Imports of the process that runs on the platform."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

CERTIFICATE = Path(__file__).parent.parent / "support" / "ca.pem"
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


@pytest.mark.parametrize(
    ("begun", "certificates"),
    [("from aspenbridge.platform.__main__ import run; run()", 0), ("pass", 1)],
)
def test_platform_process_reads_no_certificates_at_its_start(begun, certificates):
    code = (
        f"{begun}; import aiohttp.connector as connector; "
        "print(len(connector._SSL_CONTEXT_VERIFIED.get_ca_certs()))"
    )
    # Without settings the process ends at once.
    env = os.environ | {"SSL_CERT_FILE": str(CERTIFICATE), "ASPENBRIDGE_BOOT": ""}
    completed = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env=env,
    )
    assert int(completed.stdout) == certificates
