"""The engine slots that were granted to this host."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from aspenbridge.peers import RunningGrant

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aspenbridge.work import Grant, Work

MAX_EARLY_REVOCATIONS = 256


@attrs.define(eq=False)
class HeldGrant:
    """
    A granted slot, the work that runs in it and the host that granted it.

    ``static`` grants were made by this host itself while the owner of the
    group did not answer; ``owner`` is then empty.
    """

    grant: Grant
    work: Work
    owner: str
    static: bool = False


class HeldGrants:
    """
    The grants of this host, by id.

    Messages may be reordered, so that a revocation arrives before its grant.
    The last ``MAX_EARLY_REVOCATIONS`` such revocations are kept, and each is
    applied when its grant is added.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, HeldGrant] = {}
        self._early_revocations: OrderedDict[str, None] = OrderedDict()
        self.revoked = 0

    def add(self, held: HeldGrant) -> None:
        """Add a grant; it is revoked at once if its revocation came first."""
        grant = held.grant
        self._by_id[grant.grant_id] = held
        if grant.grant_id in self._early_revocations:
            del self._early_revocations[grant.grant_id]
            grant.revoked.set()

    def remove(self, grant_id: str) -> HeldGrant | None:
        """Remove and return a grant, or return None if there is none."""
        return self._by_id.pop(grant_id, None)

    def revoke(self, grant_ids: Iterable[str]) -> None:
        """Signal to the holders of grants that their slots are taken back."""
        for grant_id in grant_ids:
            self.revoked += 1
            held = self._by_id.get(grant_id)
            if held is not None:
                held.grant.revoked.set()
                continue
            self._early_revocations[grant_id] = None
            if len(self._early_revocations) > MAX_EARLY_REVOCATIONS:
                self._early_revocations.popitem(last=False)

    def running_by_group(self) -> dict[str, list[RunningGrant]]:
        """Return the running grants of each engine group."""
        by_group: dict[str, list[RunningGrant]] = {}
        for held in self._by_id.values():
            grant, work = held.grant, held.work
            running = RunningGrant(
                grant=grant.grant_id,
                engine=grant.engine.name,
                online=work.online,
                customer=work.customer,
                tokens_left=work.max_tokens,
            )
            by_group.setdefault(grant.group, []).append(running)
        return by_group
