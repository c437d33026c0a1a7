"""Messages between origins and owners, over the network or in place."""

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

    from ._engine_state import Holding
    from ._held_grants import Held, Holdings
    from ._owner import Owner
    from ._ownership import Ownership

REPLY_MARGIN_S = 0.25
NOTICE_TIMEOUT_S = 1.0
OWNER_SHUNNED_S = 1.0


class OwnerLinks:
    """Reaches owners and origins; leaves out owners that do not answer."""

    def __init__(
        self,
        clock: Clock,
        peers: PeerTransport,
        ownership: Ownership,
        owner: Owner,
        holdings: Holdings,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._ownership = ownership
        self._owner = owner
        self._holdings = holdings
        self._shunned_until_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def request(self, owner: str, request: GrantRequest) -> GrantReply | None:
        """Ask an owner for a place; None when it does not answer."""
        if owner == self._ownership.own():
            return await self._owner.request(request)
        now_s = self._clock.now_s()
        if self._shunned_until_s.get(owner, 0.0) > now_s:
            return None
        deadline_s = now_s + request.wait_s + REPLY_MARGIN_S
        try:
            reply = await self._call(owner, request, deadline_s)
        except PeerUnreachableError:
            self._shunned_until_s[owner] = self._clock.now_s() + OWNER_SHUNNED_S
            self._withdraw(owner, request)
            return None
        except asyncio.CancelledError:
            self._withdraw(owner, request)
            raise
        return reply if isinstance(reply, GrantReply) else None

    def release(
        self, held: Held, *, tokens: int, failed: bool, cached_tokens: int
    ) -> None:
        """Tell the owner that a place is free."""
        message = GrantRelease(
            held.grant.group, held.grant.grant_id, tokens, failed, cached_tokens
        )
        current = self._ownership.owner_of(held.grant.group)
        for owner in dict.fromkeys((held.owner, current)):
            self._release(owner, message)

    def revoke(self, holdings: list[Holding]) -> None:
        """Tell the origins to leave their places."""
        by_origin: dict[str, list[str]] = {}
        for holding in holdings:
            by_origin.setdefault(holding.origin, []).append(holding.grant)
        for origin, grants in by_origin.items():
            if origin == self._ownership.own():
                self._holdings.revoke(grants)
            else:
                self._notify(origin, GrantRevoke(tuple(grants)))

    def report(self, owner: str, message: RunningReport) -> None:
        """Tell an owner what this host runs in a group."""
        if owner == self._ownership.own():
            self._owner.report(message)
        else:
            self._notify(owner, message)

    async def handle(self, message: Any) -> Any:
        """Answer a message of another origin or owner."""
        if isinstance(message, GrantRequest):
            return await self._owner.request(message)
        if isinstance(message, GrantRelease):
            self._owner.release(message)
        elif isinstance(message, GrantRevoke):
            self._holdings.revoke(message.grants)
        elif isinstance(message, RunningReport):
            self._owner.report(message)
        else:
            return Ack(ok=False, detail=f"{type(message).__name__} is not known here")
        return Ack()

    def _release(self, owner: str, message: GrantRelease) -> None:
        if owner == self._ownership.own():
            self._owner.release(message)
        elif owner:
            self._notify(owner, message)

    def _withdraw(self, owner: str, request: GrantRequest) -> None:
        self._release(owner, GrantRelease(request.group, request.grant, 0))

    def _notify(self, target: str, message: Any) -> None:
        self._spawn(self._send_notice(target, message))

    async def _send_notice(self, target: str, message: Any) -> None:
        deadline_s = self._clock.now_s() + NOTICE_TIMEOUT_S
        try:
            await self._call(target, message, deadline_s)
        except PeerUnreachableError:
            return  # the next running report makes up for it

    async def _call(self, target: str, message: Any, deadline_s: float) -> Any:
        address = self._ownership.address(target)
        if address is None:
            return None
        return await self._peers.call(address, message, deadline_s)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
