"""Start the command line."""

from __future__ import annotations

import os
import sys

IO_URING_SWITCH = "UV_USE_IO_URING"


def run() -> int:
    """
    Run the command line of this process.

    :return: the exit code of the command.
    """
    os.environ[IO_URING_SWITCH] = "0"  # libuv reads it once, before the first loop
    from aspenbridge.commands import application

    return application().run()


if __name__ == "__main__":
    sys.exit(run())
