"""``slopes``: measures how the cost of each part grows with its size."""

from __future__ import annotations

import platform
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

import attrs
import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from aspenbridge.loop import run_on_loop

from ._slopes_batch import batch_slopes
from ._slopes_configuration import configuration_slopes
from ._slopes_hosts import grant_messages, host_slopes
from ._slopes_online import online_slopes
from ._slopes_rpc import rpc_slope
from ._slopes_scheduling import scheduling_slopes

if TYPE_CHECKING:
    from ._fit import Slope


class SlopesCommand(Command):
    """Measures memory, processor time and platform calls at several sizes."""

    name = "slopes"
    description = "Measure how the cost of each part of a host grows with its size."
    options: ClassVar = [
        option("seed", None, "Seed of the random numbers.", flag=False, default="1"),
        option("output", "o", "File for the JSON output.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        return run_on_loop(self._measure(int(self.option("seed"))))

    async def _measure(self, seed: int) -> int:
        hosts, idle = await host_slopes(seed)
        slopes = [
            *hosts,
            *await configuration_slopes(seed),
            *await batch_slopes(seed),
            *await online_slopes(seed),
            *scheduling_slopes(),
            await rpc_slope(),
        ]
        self._print(slopes)
        report = {
            "command": f"python -m aspenbridge_bench slopes --seed {seed}",
            "seed": seed,
            "python": platform.python_version(),
            "machine": platform.machine(),
            "slopes": slopes,
            "idle_hosts": idle,
            "grant_message_bytes": grant_messages(),
        }
        self._write(report)
        return 0

    def _print(self, slopes: list[Slope]) -> None:
        rows: list[Any] = [
            [
                slope.name,
                slope.unit,
                slope.per,
                f"{slope.intercept:.4g}",
                f"{slope.slope:.4g}",
                f"{slope.residual:.1%}",
            ]
            for slope in slopes
        ]
        head: list[Any] = ["what", "unit", "over", "at none", "for each", "residual"]
        self.render_table(head, rows)  # type: ignore[arg-type]

    def _write(self, report: dict[str, Any]) -> None:
        output = self.option("output")
        if not output:
            return
        plain = msgspec.to_builtins(report, enc_hook=attrs.asdict)
        body = msgspec.json.format(msgspec.json.encode(plain), indent=1)
        Path(output).write_bytes(body + b"\n")
