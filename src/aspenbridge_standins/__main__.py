"""The entry point of the command line."""

from __future__ import annotations

import sys


def run() -> int:
    """
    Run one stand-in until it gets SIGTERM or SIGINT.

    :return: the exit code of the process.
    """
    from ._commands import application

    return application().run()


if __name__ == "__main__":
    sys.exit(run())
