"""The entry point of the command line."""

from __future__ import annotations

import os
import sys


def run() -> int:
    """
    Run one command.

    :return: the exit code of the command.
    """
    os.environ["UV_USE_IO_URING"] = "0"  # set first, since libuv reads it once
    from ._commands import application

    return application().run()


if __name__ == "__main__":
    sys.exit(run())
