"""``placement-model``: compares rules of placement by size of fleet."""

from __future__ import annotations

from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option

from ._placement_model import RULES, ModelSize, PlacementModel

SIZES = (
    ModelSize(9, 9, 40.0),
    ModelSize(69, 45, 204.0),
    ModelSize(195, 40, 182.0),
    ModelSize(195, 40, 140.0),
    ModelSize(422, 87, 394.0),
    ModelSize(1000, 205, 933.0),
)


class PlacementModelCommand(Command):
    """Prints mean waits for a slot and the share of late ones."""

    name = "placement-model"
    description = "Compare rules of placement by a queueing model."
    options: ClassVar = [
        option("seed", None, "Seed of the random numbers.", flag=False, default="1"),
        option("seconds", None, "Seconds that are played.", flag=False, default="60"),
    ]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        seed, seconds = int(self.option("seed")), float(self.option("seconds"))
        rows: list[Any] = []
        for size in SIZES:
            row = [f"{size.hosts} x {size.engines}, {size.requests_per_s:.0f}"]
            for rule in RULES.values():
                waits = PlacementModel(size, rule, seed).run(seconds)
                row.append(f"{waits.mean_s * 1000:.0f} ms, {waits.late_share:.1%}")
            rows.append(row)
        head: list[Any] = ["hosts x engines, requests/s", *RULES]
        self.render_table(head, rows)  # type: ignore[arg-type]
        return 0
