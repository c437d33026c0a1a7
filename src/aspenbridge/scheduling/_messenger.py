"""
Messages about grants between origins and owners.

The origin of a request is the host that received it; the owner of an engine
group is the host that assigns the group's slots.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aspenbridge.peers import (
    Ack,
    GrantRelease,
    GrantReply,
    GrantRequest,
    GrantRevoke,
    RunningReport,
)
from aspenbridge.ports import PeerUnreachableError

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from aspenbridge.ports import Clock, PeerTransport

    from ._engine_state import OccupiedSlot
    from ._held_grants import HeldGrant, HeldGrants
    from ._owner import Owner
    from ._ownership import Ownership

REPLY_MARGIN_S = 0.25
NOTICE_TIMEOUT_S = 1.0
OWNER_SKIPPED_S = 1.0


class GrantMessenger:
    """
    Sends messages about grants to other hosts, and handles those received.

    A message from this host to itself is handled without the network. An
    owner that did not answer is not asked again for ``OWNER_SKIPPED_S``, so
    that requests do not wait for it one after the other.
    """

    def __init__(
        self,
        clock: Clock,
        peers: PeerTransport,
        ownership: Ownership,
        owner: Owner,
        held_grants: HeldGrants,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._ownership = ownership
        self._owner = owner
        self._held_grants = held_grants
        self._skipped_until_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def request(self, owner: str, request: GrantRequest) -> GrantReply | None:
        """
        Request a slot from an owner.

        :return: the reply, or None if the owner does not answer, is skipped
            because it did not answer lately, or is not a known member.
        """
        if owner == self._ownership.own_incarnation():
            return await self._owner.request(request)
        now_s = self._clock.now_s()
        if self._skipped_until_s.get(owner, 0.0) > now_s:
            return None
        deadline_s = now_s + request.wait_s + REPLY_MARGIN_S
        try:
            reply = await self._call(owner, request, deadline_s)
        except PeerUnreachableError:
            self._skipped_until_s[owner] = self._clock.now_s() + OWNER_SKIPPED_S
            self._withdraw(owner, request)
            return None
        except asyncio.CancelledError:
            self._withdraw(owner, request)
            raise
        return reply if isinstance(reply, GrantReply) else None

    def release(
        self, held: HeldGrant, *, tokens: int, failed: bool, cached_tokens: int
    ) -> None:
        """
        Notify the owner that a slot is free.

        If the group has a new owner since the grant, both are notified. Only
        the current owner is notified of a static slot, which no owner granted.
        """
        message = GrantRelease(
            held.grant.group, held.grant.grant_id, tokens, failed, cached_tokens
        )
        current_owner = self._ownership.owner_of(held.grant.group)
        for owner in dict.fromkeys((held.owner, current_owner)):
            self._release(owner, message)

    def revoke(self, slots: list[OccupiedSlot]) -> None:
        """Notify the origins that their slots are taken back."""
        by_origin: dict[str, list[str]] = {}
        for slot in slots:
            by_origin.setdefault(slot.origin, []).append(slot.grant)
        for origin, grants in by_origin.items():
            if origin == self._ownership.own_incarnation():
                self._held_grants.revoke(grants)
            else:
                self._notify(origin, GrantRevoke(tuple(grants)))

    def report(self, owner: str, message: RunningReport) -> None:
        """Send an owner the list of this host's grants in a group."""
        if owner == self._ownership.own_incarnation():
            self._owner.apply_report(message)
        else:
            self._notify(owner, message)

    async def handle(self, message: Any) -> Any:
        """Handle a message of another host and return the reply."""
        if isinstance(message, GrantRequest):
            return await self._owner.request(message)
        if isinstance(message, GrantRelease):
            self._owner.release(message)
        elif isinstance(message, GrantRevoke):
            self._held_grants.revoke(message.grants)
        elif isinstance(message, RunningReport):
            self._owner.apply_report(message)
        else:
            return Ack(ok=False, detail=f"unexpected message {type(message).__name__}")
        return Ack()

    def _release(self, owner: str, message: GrantRelease) -> None:
        if owner == self._ownership.own_incarnation():
            self._owner.release(message)
        elif owner:
            self._notify(owner, message)

    def _withdraw(self, owner: str, request: GrantRequest) -> None:
        self._release(owner, GrantRelease(request.group, request.grant, 0))

    def _notify(self, target: str, message: Any) -> None:
        self._start_task(self._send_notice(target, message))

    async def _send_notice(self, target: str, message: Any) -> None:
        deadline_s = self._clock.now_s() + NOTICE_TIMEOUT_S
        try:
            await self._call(target, message, deadline_s)
        except PeerUnreachableError:
            return  # the next running report corrects the owner's state

    async def _call(self, target: str, message: Any, deadline_s: float) -> Any:
        address = self._ownership.address_of(target)
        if address is None:
            return None
        return await self._peers.call(address, message, deadline_s)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
