"""The slots in use on the engines of one group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ._engine_state import EngineState, OccupiedSlot
from ._shares import Shares

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from aspenbridge.peers import RunningGrant

REPORT_DELAY_S = 1.0
SLOT_LEASE_S = 10.0


class SlotTable:
    """
    The engines of a group and the slots in use on them, by grant.

    Each host reports the slots that it uses. The slots of a host are freed
    when it is lost or leaving, or sends no report for ``SLOT_LEASE_S``.
    """

    def __init__(
        self, max_sequences: Callable[[str], int], weight: Callable[[str], float]
    ) -> None:
        self._max_sequences = max_sequences
        self._engines: dict[str, EngineState] = {}
        self._engine_by_grant: dict[str, str] = {}
        self._last_report_s: dict[str, float] = {}
        self.shares = Shares(weight)

    def __len__(self) -> int:
        return len(self._engine_by_grant)

    def engine(self, name: str) -> EngineState:
        """Return the state of an engine; it is created on first use."""
        state = self._engines.get(name)
        if state is None:
            state = EngineState(name, self._max_sequences(name))
            self._engines[name] = state
        return state

    def engines(self) -> tuple[EngineState, ...]:
        """Return the state of every engine used so far."""
        return tuple(self._engines.values())

    def occupied(self) -> list[OccupiedSlot]:
        """Return every slot in use."""
        return [slot for state in self.engines() for slot in state.slots.values()]

    def add(self, slot: OccupiedSlot) -> None:
        """Record a slot as in use."""
        self._engine_by_grant[slot.grant] = slot.engine
        if slot.online:
            self.shares.adjust_slots(slot.customer, 1)
        self.engine(slot.engine).add(slot)

    def remove(self, grant: str) -> OccupiedSlot | None:
        """Free a slot and return it, or return None if it is not in use."""
        name = self._engine_by_grant.pop(grant, None)
        slot = None if name is None else self.engine(name).remove(grant)
        if slot is not None and slot.online:
            self.shares.adjust_slots(slot.customer, -1)
        return slot

    def mark_cancelled(self, slot: OccupiedSlot) -> None:
        """Record that an engine has stopped the request of a revoked slot."""
        self.engine(slot.engine).mark_cancelled(slot.grant)

    def exceeds_share(self, customer: str, now_s: float) -> bool:
        """Return whether one more slot would exceed the customer's share."""
        slots = sum(state.limit for state in self.engines())
        return self.shares.exceeds_share(customer, slots, now_s)

    def apply_report(
        self, origin: str, grants: Iterable[RunningGrant], now_s: float
    ) -> None:
        """
        Make the recorded slots of a host equal to those that it reports.

        Slots granted within the last ``REPORT_DELAY_S`` stay: the host may
        have sent the report before it received the grant.

        :param origin: the incarnation of the host that sent the report.
        """
        self._last_report_s[origin] = now_s
        reported = {running.grant: running for running in grants}
        cutoff_s = now_s - REPORT_DELAY_S
        for slot in self.occupied():
            unreported = slot.origin == origin and slot.grant not in reported
            if unreported and slot.granted_s < cutoff_s:
                self.remove(slot.grant)
        for running in reported.values():
            if running.grant not in self._engine_by_grant:
                self.add(
                    OccupiedSlot(
                        running.grant,
                        running.engine,
                        running.online,
                        running.customer,
                        origin,
                        now_s,
                    )
                )

    def release_absent_hosts(self, live: Iterable[str]) -> None:
        """
        Free the slots of hosts that are lost or leaving.

        :param live: the incarnations of the live hosts.
        """
        live_hosts = set(live)
        for slot in self.occupied():
            if slot.origin not in live_hosts:
                self.remove(slot.grant)

    def release_expired(self, now_s: float) -> None:
        """Free the slots of hosts whose last report is too old."""
        cutoff_s = now_s - SLOT_LEASE_S
        for slot in self.occupied():
            last_report_s = self._last_report_s.get(slot.origin, slot.granted_s)
            if max(last_report_s, slot.granted_s) < cutoff_s:
                self.remove(slot.grant)
