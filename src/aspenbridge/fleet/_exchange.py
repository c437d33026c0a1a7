"""
Load reports between hosts; each holds a host's whole load.

Up to ``DIRECT_PEERS`` other hosts get each report directly. In larger fleets
a report goes to some hosts, which pass it on within their failure domain.
"""

from __future__ import annotations

import asyncio
import logging
from itertools import chain, repeat
from typing import TYPE_CHECKING, Self

import attrs
import msgspec

from aspenbridge.resources import StackOwner

from ._fanout import DIRECT_PEERS, Rounds, direct_interval_s
from ._load import REPORT_LIFETIME_S, EngineLoad
from ._slot_assignment import Backlog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
    from random import Random

    from aspenbridge.ports import Clock

    from ._datagrams import Datagrams, PeerAddress
    from ._load import LoadView

logger = logging.getLogger(__name__)
SEND_SPACING_S = 0.02  # a few engine steps; changes within it share one report
# News that are announced share a report if they come together; a host that is
# killed later than that does not take them along.
ANNOUNCE_SPACING_S = 0.002
REPEAT_INTERVAL_S = 1.0  # two reports are sent while one is valid
# A host gets reports for this long after it sent one, even when the store does
# not list it: it may be new, or unable to renew its row in an outage.
SENDER_LIFETIME_S = 3.0
# How long a report that brings no change of its host's load may wait until it
# is passed on, so that many share a datagram.
MAX_HOLD_S = 0.5
MAX_PASSED_ON_BYTES = 1_000  # in one datagram, beside the sender's own report
# Reports of a host that was silent for this long are taken for new ones.
SEQUENCE_LIFETIME_S = 10.0
MAX_HOSTS = 4_000  # whose reports are kept apart; those of more are dropped
# On the way from host to host, which the age of a report doesn't count.
MAX_DELIVERY_S = 0.1
MAX_LEAVING_ENGINES = 64  # in one report; together 1.3 kB with ids of 10 letters
MAX_UNREACHABLE_ENGINES = 64  # in one report


class CrashNotices(msgspec.Struct, frozen=True, array_like=True):
    """
    What one host saw of requests that crash engines, encoded as an array.

    Requests are given by their fingerprints and times by their age in seconds.
    ``crashes`` holds the fields of a ``CrashId``, a flag that only builds that
    quarantined batch items set, and whether the engine has ended for certain.
    ``cleared`` holds the requests that have completed. A part of prompts has a
    key in place of a fingerprint; ``runs`` holds its place in the prompt and
    the tag of the run for each of ``crashes``, and is empty in reports of
    builds without parts.
    """

    crashes: tuple[tuple[str, tuple[str, int, int], float, bool, bool], ...] = ()
    cleared: tuple[tuple[str, float], ...] = ()
    runs: tuple[tuple[int, int], ...] = ()

    def all_crashes(
        self,
    ) -> Iterator[tuple[str, tuple[str, int, int], float, bool, tuple[int, int]]]:
        """Yield key, crash, age, certainty, and place and tag of each."""
        unknown = repeat((0, 0), len(self.crashes) - len(self.runs))
        for crash, run in zip(self.crashes, chain(self.runs, unknown), strict=False):
            key, crash_id, age_s, _, confirmed = crash
            yield key, crash_id, age_s, confirmed, run


class PassedOnReport(msgspec.Struct, frozen=True, array_like=True):
    """
    The load of another host, as it reported it ``age_s`` ago.

    The other fields are those of its ``LoadReport``.
    """

    host: str
    sequence: int
    engines: list[tuple[str, int, int]]
    waiting_items: int
    due_wall_s: float
    beat_age_s: float
    age_s: float
    backlogs: tuple[tuple[str, int, float], ...] = ()
    unreachable: tuple[str, ...] = ()


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """
    The load of one host, encoded as an array.

    ``host`` is an incarnation. ``engines`` holds engine ids, each with the
    numbers of online requests and batch items that the host runs there.
    ``backlogs`` holds the host's ``Backlog`` of each service;
    ``waiting_items`` and ``due_wall_s`` sum them up for builds that don't tell
    services apart, whose own reports have no ``backlogs``.
    ``beat_age_s`` is the time since the host last renewed its row. ``leaving``
    holds the ids of engines that said that they leave, and their starts in
    milliseconds of Unix time. ``pass_on`` asks the receiver to pass the load
    on; ``passed_on`` holds the loads that the sender passes on.
    ``unreachable`` holds the ids of the engines that accept no connection of
    the host and that its waiting items could use.
    """

    host: str
    sequence: int
    engines: list[tuple[str, int, int]]
    waiting_items: int
    due_wall_s: float
    beat_age_s: float
    notices: CrashNotices = CrashNotices()
    leaving: tuple[tuple[str, int], ...] = ()
    pass_on: bool = False
    passed_on: tuple[PassedOnReport, ...] = ()
    backlogs: tuple[tuple[str, int, float], ...] = ()
    unreachable: tuple[str, ...] = ()


@attrs.define
class _Heard:
    """
    What came from a host.

    :ivar sent_s: when the host sent its last report.
    :ivar direct_sequence: of the last report that it sent to this host itself.
    """

    report: LoadReport | PassedOnReport
    sent_s: float
    direct_sequence: int = 0


class LoadExchange(StackOwner):
    """
    Sends this host's load to the other hosts and receives theirs.

    :param peers: returns the addresses of the other hosts, each with its
        failure domain.
    """

    def __init__(
        self,
        host: str,
        address: PeerAddress,
        failure_domain: str,
        load_view: LoadView,
        peers: Callable[[], Mapping[PeerAddress, str]],
        datagrams: Datagrams,
        clock: Clock,
        random: Random,
    ) -> None:
        super().__init__()
        self._host = host
        self._address = address
        self._failure_domain = failure_domain
        self._load_view = load_view
        self._peers = peers
        self._datagrams = datagrams
        self._clock = clock
        self._random = random
        self._decoder = msgspec.msgpack.Decoder(LoadReport)
        self._encoder = msgspec.msgpack.Encoder()
        self._sequence = 0
        self._heard: dict[str, _Heard] = {}  # by incarnation
        self._removed_s: dict[str, float] = {}  # when hosts were, by incarnation
        self._senders: dict[PeerAddress, float] = {}  # when each expires
        self._recipients: dict[PeerAddress, str] = {}  # with failure domains
        self._rounds: Rounds | None = None  # None while all get each report
        self._next_round_s = 0.0
        self._changed = True  # whether the own load has to be passed on
        self._to_pass_on: dict[str, _Heard] = {}  # by incarnation
        self._announcing = False
        self._timer: asyncio.TimerHandle | None = None
        self._due_s = 0.0  # when the timer ends
        self._send_to: Callable[[bytes, PeerAddress], None] | None = None
        # Called with whether reports wait for their turn, so that hosts learn
        # of a change of load later than by the next datagram.
        self.on_interval: Callable[[bool], None] = lambda delayed: None
        self.heartbeat_age_s: Callable[[], float] = lambda: float("inf")
        self.on_heartbeat: Callable[[str, float], None] = lambda host, age_s: None
        self.notices: Callable[[], CrashNotices] = CrashNotices
        self.on_notices: Callable[[CrashNotices], None] = lambda notices: None
        # Engines that leave, with their starts; the newest come last.
        self.leaving: Callable[[], Sequence[tuple[str, int]]] = tuple
        self.on_leaving: Callable[[Sequence[tuple[str, int]]], None] = lambda engines: (
            None
        )

    async def __aenter__(self) -> Self:
        self._send_to = await self._stack.enter_async_context(
            self._datagrams.open(self._address, self.receive)
        )
        self._stack.callback(self._stop_timer)
        self._load_view.on_own_change = self.schedule_send
        return self

    async def run(self) -> None:
        """Repeat the report for hosts that are new or missed one."""
        while True:
            self._forget_silent_hosts()
            self._choose_recipients()
            self._changed = True
            self._schedule(0.0)
            await self._clock.sleep_until(self._clock.now_s() + REPEAT_INTERVAL_S)

    def receive(self, data: bytes, sender: PeerAddress) -> None:
        """Apply other hosts' reports unless newer ones came first."""
        try:
            report = self._decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            logger.warning("load report from %s can't be decoded: %s", sender, error)
            return
        if report.host == self._host or not self._track(report.host):
            return
        self._apply(report, 0.0)
        heard = self._heard.get(report.host)
        if heard is not None and report.sequence > heard.direct_sequence:
            heard.direct_sequence = report.sequence
            self._apply_direct(report, sender)
        for passed_on in report.passed_on:
            known = self._heard.get(passed_on.host)
            if known is None or passed_on.sequence > known.report.sequence:
                self._apply_passed_on(passed_on)

    def has_heard(self, incarnation: str) -> bool:
        """Whether a report of a host came lately, on whatever way."""
        heard = self._heard.get(incarnation)
        if heard is None:
            return False
        return self._clock.now_s() - heard.sent_s < SENDER_LIFETIME_S

    def remove_host(self, incarnation: str) -> None:
        """Drop what a host reported before it was removed."""
        self._removed_s[incarnation] = self._clock.now_s()
        self._to_pass_on.pop(incarnation, None)

    def schedule_send(self) -> None:
        """Send a report soon; changes until then share it."""
        self._changed = True
        self._schedule(SEND_SPACING_S)

    def announce(self) -> None:
        """Send a report soon to all other hosts, also in a large fleet."""
        self._announcing = True
        self._changed = True
        self._schedule_at(self._clock.now_s() + ANNOUNCE_SPACING_S)

    def _track(self, host: str) -> bool:
        """Whether reports of a host are applied, whose name may be made up."""
        return host in self._heard or len(self._heard) < MAX_HOSTS

    def _apply_direct(self, report: LoadReport, sender: PeerAddress) -> None:
        self.on_notices(report.notices)
        self.on_leaving(report.leaving)
        self._senders[sender] = self._clock.now_s() + SENDER_LIFETIME_S

    def _apply_passed_on(self, report: PassedOnReport) -> None:
        """Apply a report that another host received, unless it is too old."""
        if report.host == self._host or not 0 <= report.age_s < REPORT_LIFETIME_S:
            return
        removed_s = self._removed_s.get(report.host, float("-inf"))
        sent_s = self._clock.now_s() - report.age_s
        if sent_s > removed_s + MAX_DELIVERY_S and self._track(report.host):
            self._apply(report, report.age_s)

    def _apply(self, report: LoadReport | PassedOnReport, age_s: float) -> None:
        """Apply a host's load unless a newer report came first."""
        host, sent_s = report.host, self._clock.now_s() - age_s
        heard = self._heard.get(host)
        if heard is None:
            if report.sequence <= 0:
                return
            heard = self._heard[host] = _Heard(report, sent_s)
            news = True
        elif report.sequence <= heard.report.sequence:
            return
        else:
            news = _load(report) != _load(heard.report)
            heard.report, heard.sent_s = report, sent_s
        self._keep_to_pass_on(report, heard, news=news)
        loads = {
            engine_id: EngineLoad(online, batch)
            for engine_id, online, batch in report.engines
        }
        unreachable = frozenset(report.unreachable)
        backlogs = {
            service: Backlog(items, due_wall_s, unreachable)
            for service, items, due_wall_s in report.backlogs
        }
        self._load_view.apply_report(host, loads, backlogs, age_s)
        self.on_heartbeat(host, report.beat_age_s + age_s)

    def _keep_to_pass_on(
        self, report: LoadReport | PassedOnReport, heard: _Heard, *, news: bool
    ) -> None:
        """Keep a report that has to be passed on until the next round."""
        if self._rounds is None or not isinstance(report, LoadReport):
            return
        if report.pass_on:
            self._to_pass_on[report.host] = heard
            self._schedule(SEND_SPACING_S if news else MAX_HOLD_S)

    def _schedule(self, delay_s: float) -> None:
        """Send after a time, or later if the next round may not begin yet."""
        due_s = self._clock.now_s() + delay_s
        self._schedule_at(max(due_s, self._next_round_s))

    def _schedule_at(self, due_s: float) -> None:
        if self._timer is not None:
            if self._due_s <= due_s:
                return
            self._timer.cancel()
        self._due_s = due_s
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(due_s - self._clock.now_s(), self._send)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send(self) -> None:
        self._stop_timer()
        if self._send_to is None:
            return
        if self._rounds is None or self._announcing:
            self._choose_recipients()
        if self._rounds is None or self._announcing:
            self._send_to_all()
        else:
            self._send_round(self._rounds)

    def _send_to_all(self) -> None:
        self._announcing = False
        self._send_report(self._report(), self._recipients)
        if self._rounds is None:
            interval_s = direct_interval_s(len(self._recipients))
            self._next_round_s = self._clock.now_s() + interval_s
        elif self._changed or self._to_pass_on:
            self._schedule(0.0)

    def _send_round(self, rounds: Rounds) -> None:
        """Send the own report, and to near hosts those of others."""
        self._next_round_s = self._clock.now_s() + rounds.fanout.interval_s
        changed, self._changed = self._changed, False
        passed_on = self._take_to_pass_on()
        if not (changed or passed_on):
            return
        report = self._report()
        asking = msgspec.structs.replace(report, pass_on=True)
        near, asked = rounds.near(), rounds.fanout.far if changed else 0
        if changed:
            self._send_report(asking, rounds.far())
        if asked:
            asking = msgspec.structs.replace(asking, passed_on=passed_on)
            self._send_report(asking, near[:asked])
        report = msgspec.structs.replace(report, passed_on=passed_on)
        self._send_report(report, near[asked:])
        if self._to_pass_on:
            self._schedule(0.0)

    def _take_to_pass_on(self) -> tuple[PassedOnReport, ...]:
        """Take the newest reports of other hosts that one datagram holds."""
        now_s = self._clock.now_s()
        newest = sorted(self._to_pass_on.items(), key=lambda item: -item[1].sent_s)
        self._to_pass_on = {}
        taken: list[PassedOnReport] = []
        free_bytes = MAX_PASSED_ON_BYTES
        for host, heard in newest:
            last, age_s = heard.report, now_s - heard.sent_s
            if age_s >= REPORT_LIFETIME_S:
                continue
            report = PassedOnReport(
                host,
                last.sequence,
                last.engines,
                last.waiting_items,
                last.due_wall_s,
                last.beat_age_s,
                age_s,
                last.backlogs,
                last.unreachable,
            )
            size_bytes = len(self._encoder.encode(report))
            # One that is larger than all goes alone.
            if size_bytes <= free_bytes or not taken:
                free_bytes -= size_bytes
                taken.append(report)
            else:
                self._to_pass_on[host] = heard
        return tuple(taken)

    def _report(self) -> LoadReport:
        self._sequence += 1
        backlogs = sorted(
            (service, backlog.items, backlog.due_wall_s)
            for service, backlog in self._load_view.own_backlogs.items()
        )
        unreachable = frozenset[str]().union(
            *(b.unreachable for b in self._load_view.own_backlogs.values())
        )
        return LoadReport(
            self._host,
            self._sequence,
            [
                (engine_id, load.online, load.batch)
                for engine_id, load in self._load_view.own_loads().items()
            ],
            sum(items for _, items, _ in backlogs),
            min((due_wall_s for *_, due_wall_s in backlogs), default=0.0),
            self.heartbeat_age_s(),
            self.notices(),
            tuple(self.leaving()[-MAX_LEAVING_ENGINES:]),
            backlogs=tuple(backlogs),
            unreachable=tuple(sorted(unreachable)[:MAX_UNREACHABLE_ENGINES]),
        )

    def _send_report(self, report: LoadReport, peers: Iterable[PeerAddress]) -> None:
        if self._send_to is None:
            return
        data = self._encoder.encode(report)
        for peer in peers:
            self._send_to(data, peer)

    def _choose_recipients(self) -> None:
        """Take the listed hosts and those that recently sent a report."""
        now_s = self._clock.now_s()
        self._senders = {a: end for a, end in self._senders.items() if end > now_s}
        # An unlisted sender is near, so that it gets what others report.
        peers = dict.fromkeys(self._senders, self._failure_domain)
        peers |= self._peers()
        peers.pop(self._address, None)
        if len(peers) <= DIRECT_PEERS:
            self._rounds = None
        elif self._rounds is None or peers != self._recipients:
            self._rounds = Rounds(peers, self._failure_domain, self._random)
        self._recipients = peers
        self.on_interval(self._rounds is not None or direct_interval_s(len(peers)) > 0)

    def _forget_silent_hosts(self) -> None:
        now_s = self._clock.now_s()
        self._heard = {
            host: heard
            for host, heard in self._heard.items()
            if now_s - heard.sent_s < SEQUENCE_LIFETIME_S
        }
        self._removed_s = {
            host: removed_s
            for host, removed_s in self._removed_s.items()
            if now_s - removed_s < SEQUENCE_LIFETIME_S
        }


def _load(report: LoadReport | PassedOnReport) -> tuple[object, ...]:
    return report.engines, report.backlogs, report.unreachable
