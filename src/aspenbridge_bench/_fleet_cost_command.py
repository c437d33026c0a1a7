"""``fleet-cost``: measures what the size of the fleet costs one entry host."""

from __future__ import annotations

import platform
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

import attrs
import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from aspenbridge.loop import run_on_loop

from ._fleet_cost import SIZES, fleet_cost

if TYPE_CHECKING:
    from ._fleet_cost import FleetCost


class FleetCostCommand(Command):
    """Measures reports, choices of engines and rounds at several sizes."""

    name = "fleet-cost"
    description = "Measure what the size of the fleet costs one entry host."
    options: ClassVar = [
        option("seed", None, "Seed of the random numbers.", flag=False, default="1"),
        option("limit", None, "Seconds for each figure.", flag=False, default="1"),
        option("output", "o", "File for the JSON output.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        return run_on_loop(
            self._measure(int(self.option("seed")), float(self.option("limit")))
        )

    async def _measure(self, seed: int, limit_s: float) -> int:
        costs = [await fleet_cost(*size, seed, limit_s) for size in SIZES]
        self._print(costs)
        if output := self.option("output"):
            report = {
                "command": f"python -m aspenbridge_bench fleet-cost --seed {seed}",
                "seed": seed,
                "python": platform.python_version(),
                "machine": platform.machine(),
                "costs": [attrs.asdict(cost) for cost in costs],
            }
            body = msgspec.json.format(msgspec.json.encode(report), indent=1)
            Path(output).write_bytes(body + b"\n")
        return 0

    def _print(self, costs: list[FleetCost]) -> None:
        sizes = [f"{cost.hosts} x {cost.engines}" for cost in costs]
        names = [name for name in attrs.asdict(costs[0]) if name.endswith("_s")]
        rows: list[Any] = [
            [
                name.removesuffix("_s").replace("_", " "),
                *(f"{attrs.asdict(cost)[name] * 1e6:.1f}" for cost in costs),
            ]
            for name in names
        ]
        head: list[Any] = ["microseconds", *sizes]
        self.render_table(head, rows)  # type: ignore[arg-type]
