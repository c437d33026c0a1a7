"""The places in use on the engines of one group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ._engine_state import EngineState, Holding
from ._shares import Shares

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from aspenbridge.peers import RunningGrant

REPORT_IN_FLIGHT_S = 1.0
HOLDING_LEASE_S = 10.0


class Places:
    """Engines and holdings; a holder that is gone loses its places."""

    def __init__(
        self, capacity: Callable[[str], int], weight: Callable[[str], float]
    ) -> None:
        self._capacity = capacity
        self._engines: dict[str, EngineState] = {}
        self._where: dict[str, str] = {}
        self._heard_s: dict[str, float] = {}
        self.shares = Shares(weight)

    def __len__(self) -> int:
        return len(self._where)

    def engine(self, name: str) -> EngineState:
        """Return what is known of an engine."""
        state = self._engines.get(name)
        if state is None:
            state = EngineState(name, self._capacity(name))
            self._engines[name] = state
        return state

    def engines(self) -> tuple[EngineState, ...]:
        """Return every engine that was asked for."""
        return tuple(self._engines.values())

    def holdings(self) -> list[Holding]:
        """Return every place in use."""
        return [item for x in self.engines() for item in x.holdings.values()]

    def add(self, holding: Holding) -> None:
        """Count a place as in use."""
        self._where[holding.grant] = holding.engine
        if holding.online:
            self.shares.hold(holding.customer, 1)
        self.engine(holding.engine).add(holding)

    def remove(self, grant: str) -> Holding | None:
        """Count a place as free; None when it was already."""
        name = self._where.pop(grant, None)
        holding = None if name is None else self.engine(name).remove(grant)
        if holding is not None and holding.online:
            self.shares.hold(holding.customer, -1)
        return holding

    def cancelled(self, holding: Holding) -> None:
        """Take in that an engine has stopped the work of a revoked place."""
        self.engine(holding.engine).cancelled(holding.grant)

    def beyond_share(self, customer: str, now_s: float) -> bool:
        """Return whether a customer holds its share of the places."""
        places = sum(state.limit for state in self.engines())
        return self.shares.beyond(customer, places, now_s)

    def report(self, origin: str, grants: Iterable[RunningGrant], now_s: float) -> None:
        """Make the places of one host those that it says it holds."""
        self._heard_s[origin] = now_s
        told = {item.grant: item for item in grants}
        settled_s = now_s - REPORT_IN_FLIGHT_S
        for holding in self.holdings():
            lost = holding.origin == origin and holding.grant not in told
            if lost and holding.granted_s < settled_s:
                self.remove(holding.grant)
        for item in told.values():
            if item.grant not in self._where:
                self.add(
                    Holding(
                        item.grant,
                        item.engine,
                        item.online,
                        item.customer,
                        origin,
                        now_s,
                    )
                )

    def drop_origins(self, live: Iterable[str]) -> None:
        """Take back the places of hosts that are gone."""
        kept = set(live)
        for holding in self.holdings():
            if holding.origin not in kept:
                self.remove(holding.grant)

    def drop_silent(self, now_s: float) -> None:
        """Take back the places of hosts that report no more."""
        limit_s = now_s - HOLDING_LEASE_S
        for holding in self.holdings():
            heard_s = self._heard_s.get(holding.origin, holding.granted_s)
            if max(heard_s, holding.granted_s) < limit_s:
                self.remove(holding.grant)
