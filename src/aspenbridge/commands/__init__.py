"""The command line."""

from __future__ import annotations

from cleo.application import Application

from aspenbridge import __version__

from ._check_config import CheckConfigCommand
from ._demo import DemoCommand
from ._job import (
    JobCancelCommand,
    JobResultsCommand,
    JobSubmitCommand,
    JobWatchCommand,
)
from ._operator_keys import OperatorNewKeyCommand
from ._serve import ServeCommand


def application() -> Application:
    """Return the command line with all of its commands."""
    app = Application("aspenbridge", __version__)
    app.add(ServeCommand())
    app.add(CheckConfigCommand())
    app.add(DemoCommand())
    app.add(OperatorNewKeyCommand())
    app.add(JobSubmitCommand())
    app.add(JobWatchCommand())
    app.add(JobCancelCommand())
    app.add(JobResultsCommand())
    return app


__all__ = ["application"]
