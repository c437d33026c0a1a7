"""Load reports between hosts; each datagram holds a host's whole load."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Self

import msgspec

from aspenbridge.resources import StackOwner

from ._load import EngineLoad
from ._slot_assignment import Backlog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from aspenbridge.ports import Clock

    from ._datagrams import Datagrams, PeerAddress
    from ._load import LoadView

logger = logging.getLogger(__name__)
SEND_SPACING_S = 0.02  # a few engine steps; changes within it share one report
REPEAT_INTERVAL_S = 1.0  # two reports are sent while one is valid
# A host gets reports for this long after it sent one, even when the store does
# not list it: it may be new, or unable to renew its row in an outage.
SENDER_LIFETIME_S = 3.0
MAX_LEAVING_ENGINES = 64  # in one report; together 1.3 kB with ids of 10 letters


class CrashNotices(msgspec.Struct, frozen=True, array_like=True):
    """
    What one host saw of requests that crash engines, encoded as an array.

    Requests are given by their fingerprints and times by their age in seconds.
    ``crashes`` holds the fields of a ``CrashId``, a flag that only builds that
    quarantined batch items set, and whether the engine has ended for certain.
    ``cleared`` holds the requests that have completed.
    """

    crashes: tuple[tuple[str, tuple[str, int, int], float, bool, bool], ...] = ()
    cleared: tuple[tuple[str, float], ...] = ()


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """
    The load of one host, encoded as an array.

    ``host`` is an incarnation. ``engines`` holds engine ids, each with the
    numbers of online requests and batch items that the host runs there.
    ``waiting_items`` and ``due_wall_s`` are the host's ``Backlog``.
    ``beat_age_s`` is the time since the host last renewed its row. ``leaving``
    holds the ids of engines that said that they leave, and their starts in
    milliseconds of Unix time.
    """

    host: str
    sequence: int
    engines: list[tuple[str, int, int]]
    waiting_items: int
    due_wall_s: float
    beat_age_s: float
    notices: CrashNotices = CrashNotices()
    leaving: tuple[tuple[str, int], ...] = ()


class LoadExchange(StackOwner):
    """Sends this host's load to the other hosts and receives theirs."""

    def __init__(
        self,
        host: str,
        address: PeerAddress,
        load_view: LoadView,
        peers: Callable[[], Iterable[PeerAddress]],
        datagrams: Datagrams,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._host = host
        self._address = address
        self._load_view = load_view
        self._peers = peers
        self._datagrams = datagrams
        self._clock = clock
        self._decoder = msgspec.msgpack.Decoder(LoadReport)
        self._encoder = msgspec.msgpack.Encoder()
        self._sequence = 0
        self._last_sequences: dict[str, int] = {}  # by incarnation
        self._senders: dict[PeerAddress, float] = {}  # when each expires
        self._timer: asyncio.TimerHandle | None = None
        self._send_to: Callable[[bytes, PeerAddress], None] | None = None
        self.on_report: Callable[[], None] = lambda: None
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
            self._send()
            await self._clock.sleep_until(self._clock.now_s() + REPEAT_INTERVAL_S)

    def receive(self, data: bytes, sender: PeerAddress) -> None:
        """Apply another host's report unless a newer one came first."""
        try:
            report = self._decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            logger.warning("load report from %s can't be decoded: %s", sender, error)
            return
        if report.sequence <= self._last_sequences.get(report.host, 0):
            return
        self._last_sequences[report.host] = report.sequence
        loads = {
            engine_id: EngineLoad(online, batch)
            for engine_id, online, batch in report.engines
        }
        backlog = Backlog(report.waiting_items, report.due_wall_s)
        self._load_view.apply_report(report.host, loads, backlog)
        self.on_heartbeat(report.host, report.beat_age_s)
        self.on_notices(report.notices)
        self.on_leaving(report.leaving)
        self._senders[sender] = self._clock.now_s() + SENDER_LIFETIME_S
        self.on_report()

    def schedule_send(self) -> None:
        """Send a report soon; changes until then share it."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(SEND_SPACING_S, self._send)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send(self) -> None:
        self._stop_timer()
        if self._send_to is None:
            return
        self._sequence += 1
        engines = [
            (engine_id, load.online, load.batch)
            for engine_id, load in self._load_view.own_loads().items()
        ]
        backlog = self._load_view.own_backlog
        report = self._encoder.encode(
            LoadReport(
                self._host,
                self._sequence,
                engines,
                backlog.items,
                backlog.due_wall_s,
                self.heartbeat_age_s(),
                self.notices(),
                tuple(self.leaving()[-MAX_LEAVING_ENGINES:]),
            )
        )
        for peer in self._recipients():
            self._send_to(report, peer)

    def _recipients(self) -> set[PeerAddress]:
        """Return the listed hosts and those that recently sent a report."""
        now_s = self._clock.now_s()
        self._senders = {a: end for a, end in self._senders.items() if end > now_s}
        return {*self._peers(), *self._senders} - {self._address}
