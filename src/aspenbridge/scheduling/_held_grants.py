"""The places that this host holds on engines."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from aspenbridge.peers import RunningGrant

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aspenbridge.work import Grant, Work

EARLY_REVOKES_KEPT = 256


@attrs.define(eq=False)
class Held:
    """One place, what runs there and the owner that gave it."""

    grant: Grant
    work: Work
    owner: str
    static: bool = False


class Holdings:
    """Places by grant id; a revocation may come before its grant."""

    def __init__(self) -> None:
        self._held: dict[str, Held] = {}
        self._early: OrderedDict[str, None] = OrderedDict()
        self.revoked = 0

    def add(self, held: Held) -> None:
        """Hold a place."""
        grant = held.grant
        self._held[grant.grant_id] = held
        if grant.grant_id in self._early:
            del self._early[grant.grant_id]
            grant.revoked.set()

    def remove(self, grant_id: str) -> Held | None:
        """Give a place up; None when it was already."""
        return self._held.pop(grant_id, None)

    def revoke(self, grant_ids: Iterable[str]) -> None:
        """Tell the holders that their places are taken back."""
        for grant_id in grant_ids:
            self.revoked += 1
            held = self._held.get(grant_id)
            if held is not None:
                held.grant.revoked.set()
                continue
            self._early[grant_id] = None
            if len(self._early) > EARLY_REVOKES_KEPT:
                self._early.popitem(last=False)

    def by_group(self) -> dict[str, list[RunningGrant]]:
        """Return what runs in each group."""
        found: dict[str, list[RunningGrant]] = {}
        for held in self._held.values():
            grant, work = held.grant, held.work
            item = RunningGrant(
                grant=grant.grant_id,
                engine=grant.engine.name,
                online=work.online,
                customer=work.customer,
                tokens_left=work.max_tokens,
            )
            found.setdefault(grant.group, []).append(item)
        return found
