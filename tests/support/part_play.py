"""Plays traffic in which a part of some prompts crashes engines."""

from __future__ import annotations

import asyncio
import itertools
import random

import attrs

from tests.support.entry_fleet import RecordedResponse, make_request, part_fields

CONTACT_S = 4.0  # a crash is known at every host in touch after this time
COUNTED_CRASHES = 5  # from which the bound on sends is counted
MAX_LATE_SENDS = 3


@attrs.frozen
class Sent:
    """A request that a caller sent, and what became of it."""

    request_id: str
    host: str
    parts: tuple[str, ...]
    sent_s: float
    first: bool  # whether it was the caller's first attempt
    response: object


@attrs.define
class PartPlay:
    """Callers that send prompts with shared parts to the hosts of a fleet."""

    fleet: object
    random: random.Random = attrs.field(factory=lambda: random.Random(1))
    sent: list[Sent] = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)
    _served: dict = attrs.field(factory=dict)  # tasks, by host
    _tasks: set = attrs.field(factory=set)

    async def send(self, parts, path="/online/x", attempts=2) -> None:
        """Send a request; once more elsewhere if it is not served at first."""
        number = next(self._numbers)
        for attempt in range(attempts):
            host = self.random.choice(sorted(self.fleet.hosts))
            request = make_request(
                f"p{number}-{attempt}", path, body=b"%d" % number, **part_fields(*parts)
            )
            sent_s = self.fleet.clock.now_s()
            response = await self._relay(host, request)
            self.sent.append(
                Sent(request.request_id, host, parts, sent_s, not attempt, response)
            )
            if response.finished:
                return
            problem = response.problem
            await asyncio.sleep(min((problem and problem.retry_after_s) or 0.1, 1.0))

    async def _relay(self, host, request):
        """Return a host's response; an empty one if the host is killed."""
        task = asyncio.ensure_future(self.fleet.relay(host, request))
        tasks = self._served.setdefault(host, set())
        tasks.add(task)
        await asyncio.wait({task})
        tasks.discard(task)
        return RecordedResponse() if task.cancelled() else task.result()

    async def kill(self, host) -> None:
        """Kill a host; the connections of its callers end."""
        await self.fleet.kill(host)
        for task in self._served.pop(host, ()):
            task.cancel()

    async def traffic(self, seconds, rate_s, parts, path="/online/x") -> None:
        """
        Send requests at random moments.

        :param parts: returns the shared parts of the next prompt.
        """
        until_s = self.fleet.clock.now_s() + seconds
        while True:
            await asyncio.sleep(self.random.expovariate(rate_s))
            if self.fleet.clock.now_s() >= until_s:
                return
            task = asyncio.create_task(self.send(parts(), path))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def settle(self) -> None:
        """Wait until all callers have their answers."""
        await asyncio.gather(*self._tasks)

    def crashes_s(self, part) -> list[float]:
        """Return when engines crashed under prompts with a part."""
        return [c.at_s for c in self.fleet.engines.crashes if part in c.parts]

    def sends(self, part) -> list[object]:
        """Return the runs of prompts with a part, items included."""
        return [run for run in self.fleet.engines.runs if part in run.parts]

    def late_sends(self, part) -> list[object]:
        """Return the runs that begin later than a part may still be sent."""
        crashes_s = self.crashes_s(part)
        if len(crashes_s) < COUNTED_CRASHES:
            return []
        known_s = crashes_s[COUNTED_CRASHES - 1] + CONTACT_S
        return [run for run in self.sends(part) if run.started_s > known_s]

    def begun_share(self, first_part, innocent, from_s, until_s=float("inf")) -> float:
        """
        Return the share of first attempts that began to be answered.

        :param innocent: whether the parts of a prompt are all sound.
        """
        asked = [
            sent
            for sent in self.sent
            if sent.first
            and sent.parts[:1] == (first_part,)
            and innocent(sent.parts)
            and from_s <= sent.sent_s < until_s
        ]
        assert len(asked) >= 20, "too few requests to tell"
        begun = [sent for sent in asked if sent.response.first_write_s is not None]
        return len(begun) / len(asked)
