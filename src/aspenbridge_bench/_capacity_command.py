"""``capacity``: predicts the load at the size expected in two years."""

from __future__ import annotations

from pathlib import Path
from typing import Any, ClassVar

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from ._capacity import Figure, figures, read_reports


class CapacityCommand(Command):
    """Predicts load and cost at the size expected in two years."""

    name = "capacity"
    description = (
        "Predict load and cost in two years from measured slopes, as Markdown."
    )
    options: ClassVar = [
        option(
            "slopes",
            None,
            "Slopes.",
            flag=False,
            default="results/slopes.json",
        ),
        option("relay", None, "Relay.", flag=False, default="results/relay.json"),
    ]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        measured = read_reports(self._read("slopes"), self._read("relay"))
        self.line("| role | what | at the target | limit | share |")
        self.line("| --- | --- | --- | --- | --- |")
        for figure in figures(measured):
            self.line(_row(figure))
        return 0

    def _read(self, name: str) -> dict[str, object]:
        body = Path(self.option(name)).read_bytes()
        return msgspec.json.decode(body, type=dict[str, Any])


def _row(figure: Figure) -> str:
    limit = "" if figure.limit is None else f"{figure.limit:,g} {figure.unit}"
    share = "" if figure.share is None else f"{figure.share:.2f}"
    value = f"{figure.value:,.4g} {figure.unit}"
    return f"| {figure.role} | {figure.what} | {value} | {limit} | {share} |"
