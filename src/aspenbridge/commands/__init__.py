"""The commands of the ``aspenbridge`` program."""

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
from ._operator_changes import (
    ApplyCommand,
    DrainCommand,
    DryRunCommand,
    LabelsCommand,
    RecallCommand,
    RemoveCommand,
    UndrainCommand,
)
from ._operator_keys import OperatorNewKeyCommand
from ._operator_queries import (
    CustomersCommand,
    ExplainCommand,
    RecalledCommand,
    RerunCommand,
    StatusCommand,
)
from ._serve import ServeCommand

OPERATOR_COMMANDS = (
    StatusCommand,
    LabelsCommand,
    ApplyCommand,
    RemoveCommand,
    DrainCommand,
    UndrainCommand,
    RecallCommand,
    RecalledCommand,
    RerunCommand,
    CustomersCommand,
    DryRunCommand,
    ExplainCommand,
)


def application() -> Application:
    """Return the command line application with all commands."""
    app = Application("aspenbridge", __version__)
    app.add(ServeCommand())
    app.add(CheckConfigCommand())
    app.add(DemoCommand())
    app.add(OperatorNewKeyCommand())
    app.add(JobSubmitCommand())
    app.add(JobWatchCommand())
    app.add(JobCancelCommand())
    app.add(JobResultsCommand())
    for command in OPERATOR_COMMANDS:
        app.add(command())
    return app


__all__ = ["application"]
