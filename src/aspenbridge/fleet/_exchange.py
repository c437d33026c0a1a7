"""Load reports between hosts, as datagrams that carry the whole state."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Self

import msgspec

from aspenbridge.resources import StackOwner

from ._load import EngineLoad
from ._sharing import Backlog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from aspenbridge.ports import Clock

    from ._datagrams import Datagrams, PeerAddress
    from ._load import LoadBoard

logger = logging.getLogger(__name__)
SEND_SPACING_S = 0.02  # a few steps of an engine; what changes meanwhile is merged
REPEAT_INTERVAL_S = 1.0  # two are sent while a report is valid
# Hosts that the store does not list yet, or not any more while it is away.
SENDER_LIFETIME_S = 3.0


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """
    What a host has on engines (id, online, batch) and what waits.

    ``beat_age_s`` is the time since the host last renewed its row.
    """

    host: str
    sequence: int
    engines: list[tuple[str, int, int]]
    waiting_items: int
    due_wall_s: float
    beat_age_s: float


class LoadExchange(StackOwner):
    """Sends this host's load to the others and takes in theirs."""

    def __init__(
        self,
        host: str,
        address: PeerAddress,
        board: LoadBoard,
        peers: Callable[[], Iterable[PeerAddress]],
        datagrams: Datagrams,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._host = host
        self._address = address
        self._board = board
        self._peers = peers
        self._datagrams = datagrams
        self._clock = clock
        self._decoder = msgspec.msgpack.Decoder(LoadReport)
        self._encoder = msgspec.msgpack.Encoder()
        self._sequence = 0
        self._heard: dict[str, int] = {}
        self._senders: dict[PeerAddress, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._send_to: Callable[[bytes, PeerAddress], None] | None = None
        self.on_report: Callable[[], None] = lambda: None
        self.beat_age_s: Callable[[], float] = lambda: float("inf")
        self.on_beat: Callable[[str, float], None] = lambda host, age_s: None

    async def __aenter__(self) -> Self:
        self._send_to = await self._stack.enter_async_context(
            self._datagrams.open(self._address, self.receive)
        )
        self._stack.callback(self._stop_timer)
        self._board.on_own_change = self._schedule
        return self

    async def run(self) -> None:
        """Repeat the report, for hosts that are new or lost one."""
        while True:
            self._send()
            await self._clock.sleep_until(self._clock.now_s() + REPEAT_INTERVAL_S)

    def receive(self, data: bytes, sender: PeerAddress) -> None:
        """Take in another host's report unless a newer one came first."""
        try:
            report = self._decoder.decode(data)
        except msgspec.DecodeError as error:
            logger.warning("load report from %s can't be read: %s", sender, error)
            return
        if report.sequence <= self._heard.get(report.host, 0):
            return
        self._heard[report.host] = report.sequence
        loads = {name: EngineLoad(on, batch) for name, on, batch in report.engines}
        backlog = Backlog(report.waiting_items, report.due_wall_s)
        self._board.hear(report.host, loads, backlog)
        self.on_beat(report.host, report.beat_age_s)
        self._senders[sender] = self._clock.now_s() + SENDER_LIFETIME_S
        self.on_report()

    def _schedule(self) -> None:
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
            (engine, load.online, load.batch)
            for engine, load in self._board.own_report().items()
        ]
        backlog = self._board.own_backlog
        report = self._encoder.encode(
            LoadReport(
                self._host,
                self._sequence,
                engines,
                backlog.items,
                backlog.due_wall_s,
                self.beat_age_s(),
            )
        )
        for peer in self._addresses():
            self._send_to(report, peer)

    def _addresses(self) -> set[PeerAddress]:
        """Return the listed hosts and those that sent a report lately."""
        now_s = self._clock.now_s()
        self._senders = {a: end for a, end in self._senders.items() if end > now_s}
        return {*self._peers(), *self._senders} - {self._address}
