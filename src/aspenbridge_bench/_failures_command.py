"""``failures``: kills and pauses hosts and stops the table service."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

import aiohttp
import attrs
import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from aspenbridge.backends import open_session
from aspenbridge.loop import run_on_loop

from ._failures import CUSTOMER, FailureReport, host_killed, host_paused, table_down
from ._local_fleet import LocalFleet
from ._processes import Processes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

FIRST_PORT = 26300
REGION = "gauteng"
HOSTS = 3
ENGINES = 2
EXIT_WAIT_S = 1.0  # a process that crashed has an exit code by then
SETTINGS = {"batch": {"chunk_items": "50", "flush_interval_s": "1"}}


class FailuresCommand(Command):
    """Makes hosts and the table service fail while a batch job runs."""

    name = "failures"
    description = "Kill and pause host processes, and stop the table, during a job."
    options: ClassVar = [
        option("seed", None, "Seed of the stand-ins.", flag=False, default="1"),
        option(
            "pause-s", None, "Length of the pause in seconds.", flag=False, default="8"
        ),
        option(
            "outage-s",
            None,
            "Length of the outage in seconds.",
            flag=False,
            default="20",
        ),
        option("output", "o", "File for the JSON output.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command; the exit code is 1 if a check failed."""
        return run_on_loop(self._run())

    async def _run(self) -> int:
        pause_s = float(self.option("pause-s"))
        outage_s = float(self.option("outage-s"))
        cases: list[Callable[[LocalFleet], Awaitable[FailureReport]]] = [
            host_killed,
            lambda fleet: host_paused(fleet, pause_s),
            lambda fleet: table_down(fleet, outage_s),
        ]
        reports = [await self._run_case(case) for case in cases]
        seed = int(self.option("seed"))
        body = msgspec.json.encode(
            {
                "command": "python -m aspenbridge_bench failures"
                f" --seed {seed} --pause-s {pause_s:g} --outage-s {outage_s:g}",
                "seed": seed,
                "cases": [
                    {**attrs.asdict(report), "passed": report.passed}
                    for report in reports
                ],
            }
        )
        text = msgspec.json.format(body, indent=1)
        if self.option("output"):
            Path(self.option("output")).write_bytes(text + b"\n")
        self.line(text.decode())
        return 0 if all(report.passed for report in reports) else 1

    async def _run_case(
        self, case: Callable[[LocalFleet], Awaitable[FailureReport]]
    ) -> FailureReport:
        with Processes(FIRST_PORT) as processes:
            async with open_session() as session:
                fleet = LocalFleet(processes, session, int(self.option("seed")))
                fleet.host_settings = SETTINGS
                await fleet.start_platform()
                await fleet.start_engines([REGION] * ENGINES)
                await fleet.configure([CUSTOMER])
                await fleet.start_hosts([REGION] * HOSTS)
                try:
                    return await case(fleet)
                except (aiohttp.ClientError, RuntimeError) as error:
                    await asyncio.sleep(EXIT_WAIT_S)
                    exits = processes.exit_codes()
                    return FailureReport.broken_off(f"{error}; exits: {exits}")
