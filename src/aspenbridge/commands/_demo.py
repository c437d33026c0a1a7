"""The command ``aspenbridge demo``."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option

from ._exit_codes import DONE, FAILED

if TYPE_CHECKING:
    from aspenbridge.demo import DemoReport


class DemoCommand(Command):
    """Run a fleet and its platform in one process and send requests to it."""

    name = "demo"
    description = "Run a fleet and its platform in one process and send requests to it."
    options: ClassVar = [option("json", None, "Print the report as JSON.")]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        from aspenbridge.demo import run_demo

        report = run_demo()
        self._print_report(report)
        return DONE if report.passed else FAILED

    def _print_report(self, report: DemoReport) -> None:
        if self.option("json"):
            self.line(json.dumps(report.as_dict()))
            return
        table = self.table()
        table.set_headers(["what", "count", "p50 ms", "p99 ms", "as expected"])
        table.set_rows([row.cells() for row in report.rows])
        table.render()
