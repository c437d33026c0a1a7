"""Entry point of ``python3 -m aspenbridge.platform``: runs an entry host."""

from __future__ import annotations

import os
import signal
import sys

EXIT_BAD_SETTINGS = 2


def run() -> int:
    """Run an entry host and return the exit code of the process."""
    # The settings are read later, and a signal that they have changed would
    # end a process that does not handle it yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    skip_certificates()
    from aspenbridge.loop import run_on_loop
    from aspenbridge.observability import configure_logging

    from ._serve import serve_entry
    from ._settings import SettingsError

    configure_logging("info")
    try:
        return run_on_loop(serve_entry())
    except SettingsError as error:
        print(error, file=sys.stderr)  # noqa: T201
        return EXIT_BAD_SETTINGS


def skip_certificates() -> None:
    """
    Keep the imports from reading the certificates of this machine.

    aiohttp reads them all when it is imported. Nothing that the platform
    calls or serves is encrypted.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull


if __name__ == "__main__":
    sys.exit(run())
