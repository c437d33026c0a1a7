"""Each kind of planned work beside engines, rooms and callers of each kind."""

from __future__ import annotations

import asyncio
import itertools
import json
from typing import NamedTuple

import attrs
import pytest

from aspenbridge.fleet import CallKind, RequestLimits, Target
from aspenbridge.loop import NumericAddressLoop
from tests.platform.test_answer_ends import item_result, submit_item
from tests.support.engine_scripts import Answer, End, stream_of
from tests.support.entry_fleet import make_configuration, make_route
from tests.support.raw_callers import (
    call_after_another,
    call_by_http_1_0,
    call_in_chunks,
    call_in_pieces,
    call_plainly,
    call_slowly_reading,
    call_twice,
    call_when_told_to_continue,
)
from tests.support.scripted_host import SLOTS, HostUnderTest

EVENTS = 4
LONG_EVENTS = 3000  # more bytes than a slow reader takes at once
WHOLE = b"the body of an answer that is not a stream"
SILENCES = [
    {},
    *({"head_silence_s": pause_s} for pause_s in (0.5, 0.9, 1.5)),
    *({"body_silence_s": pause_s} for pause_s in (0.5, 0.9, 1.5)),
]
# How much room there is on other engines, and the engines of its service:
# plenty; none, since all others are full; none, since all were tried.
ROOMS = {"plenty": 3, "full": 3, "tried": 1}
LIMIT_S = 8.0  # of each route, unless a configuration changes it
PATHS = {
    "online": {"request_limit_s": LIMIT_S},
    "once": {"request_limit_s": LIMIT_S, "resumable": False, "max_attempts": 1},
    "whole": {"request_limit_s": LIMIT_S, "kind": CallKind.IDEMPOTENT},
    "whole-once": {
        "request_limit_s": LIMIT_S,
        "kind": CallKind.NON_IDEMPOTENT,
        "max_attempts": 1,
    },
}
MAY_RUN_AGAIN = ("online", "whole")
CALLERS = (
    call_plainly,
    call_in_pieces,
    call_in_chunks,
    call_when_told_to_continue,
    call_slowly_reading,
    call_by_http_1_0,
    call_twice,
    call_after_another,
)
SPARE = 4  # answers to sends that should not be
START_SPREAD_S = 1.2  # over which the callers begin
CHANGE_AT_S = 0.5  # in the midst of the requests
NOTICE_S = 1.5  # from the stop to the drain; all requests have come by then
DRAIN_S = 6.5
CHECK_LIMIT_S = 25.0
# Each plan meets one case in three; together they meet all, each case with
# other callers.
PART = 3
# Refusals are right, but few: all engines have room, and only a busy machine
# makes connections to them late.
MOST_REFUSED = 0.1


class Case(NamedTuple):
    """A request, and what its engine, its room and its caller are like."""

    path: str
    room: str
    silence: dict[str, float]
    on_all: bool
    caller: object

    @property
    def name(self) -> str:
        engines = "all" if self.on_all else "one"
        return (
            f"{self.path}, {self.room}, {self.silence or 'sound'} on {engines}, "
            f"{self.caller.__name__}"
        )

    @property
    def body(self) -> bytes:
        if not self.path.startswith("on"):
            return WHOLE
        return stream_of(LONG_EVENTS if self.caller is call_slowly_reading else EVENTS)

    def script(self) -> list[Answer]:
        if self.path.startswith("on"):
            answer = Answer(events=self.body.count(b"\n\n"), **self.silence)
        else:
            kind = "application/octet-stream"
            answer = Answer(WHOLE, content_type=kind, **self.silence)
        prompt = attrs.evolve(answer, head_silence_s=0.0, body_silence_s=0.0)
        second = answer if self.on_all else prompt
        if self.room == "tried" and self.path in MAY_RUN_AGAIN:
            first = attrs.evolve(prompt, end=End.RESET, sent_bytes=0)
            return [first, answer, *SPARE * [second]]
        return [answer, *SPARE * [second]]


def cases(offset: int) -> list[Case]:
    """Return a part of all engines, rooms and paths, with callers by turns."""
    combined = itertools.product(PATHS, ROOMS, SILENCES)
    return [
        Case(
            path,
            room,
            silence,
            on_all=(number // PART + offset) % 2 == 0,
            caller=CALLERS[(number // PART + offset) % len(CALLERS)],
        )
        for number, (path, room, silence) in enumerate(combined)
        if (number + offset) % PART == 0
    ]


def routes(**changes):
    online = [
        make_route(f"{path}-{room}", targets=(Target(room, 1.0),), **options, **changes)
        for (path, options), room in itertools.product(PATHS.items(), ROOMS)
    ]
    batch = make_route("batch", kind=CallKind.BATCH, targets=(Target("plenty", 1.0),))
    return [*online, attrs.evolve(batch, **changes)]


def with_limit(limit_s):
    return [attrs.evolve(route, request_limit_s=limit_s) for route in routes()]


def split():
    half = [
        attrs.evolve(route, targets=(*route.targets, Target("plenty", 1.0)))
        for route in routes()
    ]
    longer = [
        attrs.evolve(route, name=f"{route.name}-r", prefix=f"{route.prefix}r1/")
        for route in half
    ]
    return [*half, *longer]


def moved():
    return [attrs.evolve(r, targets=(Target("plenty", 1.0),)) for r in routes()]


def without_once():
    return [r for r in routes() if not r.name.startswith("once")]


CHANGES = {
    "moved": [moved()],
    "split": [split()],
    "shorter time-out": [with_limit(4.5)],
    "longer time-out": [with_limit(12.0)],
    "added": [[*routes(), make_route("added")]],
    "removed and back": [without_once(), routes()],
    "removed": [without_once()],
    "series": [moved(), with_limit(4.5), split(), routes(), with_limit(12.0)],
}
VERSION_INTERVAL_S = 0.05
SMALLER = RequestLimits(8192, 1024, 15.0)


async def change(host, versions) -> None:
    await asyncio.sleep(CHANGE_AT_S)
    for number, changed in enumerate(versions, 2):
        configuration = make_configuration(number, changed)
        if number % 2:
            configuration = attrs.evolve(configuration, limits=SMALLER)
        value = b"%d" % number
        host.fleet.configurations[value] = configuration
        host.fleet.store.write("op", "config", value)
        await asyncio.sleep(VERSION_INTERVAL_S)


async def stop(host) -> None:
    await asyncio.sleep(CHANGE_AT_S)
    host.host.leaving = True
    await asyncio.sleep(NOTICE_S)
    assert await host.ingress.drain(DRAIN_S)
    await host.ingress.__aexit__(None, None, None)


class Played(NamedTuple):
    """One request of a case with its reply and how often engines got it."""

    case: Case
    position: int  # on its connection
    reply: object
    sends: int
    engines: int  # how many engines got it

    @property
    def whole(self) -> bool:
        most = 2 if self.case.path in MAY_RUN_AGAIN else 1
        expected = (200, self.case.body, True)
        # One engine may get a request again that was left for its silence.
        sent_again = self.sends - self.engines
        few = 1 <= self.engines <= most and sent_again <= most - 1
        return self.reply[:3] == expected and few

    @property
    def refused(self) -> bool:
        if self.reply.status != 503 or not self.reply.complete or self.sends:
            return False
        may_come_again = float(self.reply.headers["Retry-After"]) < 1
        return may_come_again and json.loads(self.reply.body)["execution"] == "not run"

    @property
    def without_route(self) -> bool:
        return self.reply.status == 404 and self.reply.complete and not self.sends

    @property
    def crossed_the_close(self) -> bool:
        """Whether an idle connection was closed as the next request came."""
        behind = self.case.caller is call_after_another and self.position == 1
        return behind and not self.reply.complete and not self.sends

    def __str__(self) -> str:
        reply = self.reply
        seen = f"{reply.status} {reply.body[:80]!r} complete={reply.complete}"
        sent = f"sends={self.sends}, engines={self.engines}"
        return f"{self.case.name}, request {self.position}: {seen}, {sent}"


async def play(host, case, delay_s) -> list[Played]:
    await asyncio.sleep(delay_s)
    in_a_row = case.caller in (call_twice, call_after_another)
    ids = [host.add_script(case.script()) for _ in range(2 if in_a_row else 1)]
    path = f"{case.path}-{case.room}"
    replies = await case.caller(host.callers, path, *ids)
    asked = [host.engine.asked.get(i, ()) for i in ids]
    return [
        Played(case, position, reply, len(engines), len(set(engines)))
        for position, (reply, engines) in enumerate(
            zip(replies if in_a_row else [replies], asked, strict=True)
        )
    ]


async def play_item(host, silence) -> str | None:
    """Run a batch item; return what was wrong about it."""
    item_id = await submit_item(host, [Answer(events=EVENTS, **silence)] * SPARE)
    text = await item_result(host, item_id)
    runs = len(host.engine.resumed_after[item_id])
    if text == "t0\nt1\nt2\nt3" and runs == 1:
        return None
    return f"item, {silence}: {text!r}, runs={runs}"


def run_plans(plans, is_right, *, stops=False):
    """Play all cases beside each plan; return what was wrong."""

    async def run_plan(number, name, plan):
        async with HostUnderTest(ROOMS, routes()) as host:
            for engine_id in ("full-1", "full-2"):
                host.host.load_view.add(engine_id, online=SLOTS)
            all_cases = cases(number)
            delay_s = START_SPREAD_S / len(all_cases)
            playing = [
                play(host, case, n * delay_s) for n, case in enumerate(all_cases)
            ]
            item_runs = [play_item(host, silence) for silence in SILENCES if not stops]
            _, faults, *played = await asyncio.gather(
                plan(host), asyncio.gather(*item_runs), *playing
            )
            replies = list(itertools.chain(*played))
            wrong = [str(p) for p in replies if not is_right(name, p)]
            refused = [str(p) for p in replies if p.refused]
            if stops or len(refused) <= MOST_REFUSED * len(replies):
                refused = []
            wrong += refused
            return [f"{name}: {w}" for w in [*wrong, *filter(None, faults)]]

    async def main():
        async with asyncio.timeout(CHECK_LIMIT_S):
            found = await asyncio.gather(
                *(run_plan(n, *plan) for n, plan in enumerate(plans.items()))
            )
        return list(itertools.chain(*found))

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(main())


@pytest.mark.parametrize("first", [0, 4])
def test_requests_get_whole_answers_beside_each_change_of_the_configuration(first):
    def is_right(name, played):
        removed = name.startswith("removed") and played.case.path == "once"
        without_route = removed and played.without_route
        return played.whole or played.refused or without_route

    plans = {
        name: lambda host, versions=versions: change(host, versions)
        for name, versions in list(CHANGES.items())[first : first + 4]
    }
    assert run_plans(plans, is_right) == []


def test_requests_get_whole_answers_or_refusals_when_the_host_stops():
    def is_right(_, played):
        return played.whole or played.refused or played.crossed_the_close

    async def stop_and_change(host):
        await asyncio.gather(stop(host), change(host, CHANGES["series"]))

    plans = {"stop": stop, "stop and series": stop_and_change}
    assert run_plans(plans, is_right, stops=True) == []
