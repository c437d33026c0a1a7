"""Starts the command line of ``aspenbridge``."""

from __future__ import annotations

import os
import sys

IO_URING_VARIABLE = "UV_USE_IO_URING"


def run() -> int:
    """
    Run the command that the arguments of the process name.

    :return: the exit code of the command.
    """
    # Keeps libuv from using io_uring; libuv reads the variable once, before
    # the first event loop.
    os.environ[IO_URING_VARIABLE] = "0"
    from aspenbridge.commands import application

    return application().run()


if __name__ == "__main__":
    sys.exit(run())
