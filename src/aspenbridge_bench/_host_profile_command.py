"""``host-profile``: the processor time of an entry host by its causes."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

import attrs
import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from aspenbridge.loop import run_on_loop

from ._host_profile import profile_host
from ._processes import Processes

if TYPE_CHECKING:
    from ._host_profile import PhaseCost

FIRST_PORT = 27000


class HostProfileCommand(Command):
    """Measures one entry host in fleets of several sizes."""

    name = "host-profile"
    description = "Measure the processor time of an entry host by its causes."
    options: ClassVar = [
        option("hosts", None, "Fleet sizes.", flag=False, default="9,69,300"),
        option("seconds", None, "Time of each phase.", flag=False, default="10"),
        option("output", "o", "File for the JSON output.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        return run_on_loop(self._measure())

    async def _measure(self) -> int:
        sizes = [int(size) for size in self.option("hosts").split(",")]
        seconds = float(self.option("seconds"))
        costs: list[PhaseCost] = []
        with Processes(FIRST_PORT) as processes:
            for size in sizes:
                costs += await profile_host(processes, size, seconds)
        self._print(costs)
        if self.option("output"):
            report = [attrs.asdict(cost) for cost in costs]
            body = msgspec.json.format(msgspec.json.encode(report), indent=1)
            Path(self.option("output")).write_bytes(body + b"\n")
        return 0

    def _print(self, costs: list[PhaseCost]) -> None:
        rows: list[Any] = [
            [
                str(cost.hosts),
                cost.phase,
                f"{cost.cores:.4f}",
                f"{sum(cost.store_calls.values()):.1f}",
                f"{cost.datagrams.get('received', 0):.0f}",
                f"{cost.datagrams.get('received_bytes', 0):.0f}",
                f"{cost.datagrams.get('sent', 0):.0f}",
                f"{cost.datagrams.get('sent_bytes', 0):.0f}",
                f"{cost.requests:.1f}",
            ]
            for cost in costs
        ]
        head: list[Any] = [
            "hosts",
            "phase",
            "cores",
            "store calls/s",
            "received/s",
            "bytes/s",
            "sent/s",
            "bytes/s",
            "requests/s",
        ]
        self.render_table(head, rows)  # type: ignore[arg-type]
