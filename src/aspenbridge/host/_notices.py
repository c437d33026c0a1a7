"""Sends notices to all other hosts once, in the background."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from aspenbridge.ports import PeerUnreachableError

if TYPE_CHECKING:
    from aspenbridge.membership import Members
    from aspenbridge.peers import Message
    from aspenbridge.ports import Clock, PeerAddress, PeerTransport

NOTICE_TIMEOUT_S = 2.0


class Notices:
    """
    Broadcasts notices, without retries.

    A notice may be lost; hosts also read the same information from the store
    at intervals.
    """

    def __init__(self, members: Members, peers: PeerTransport, clock: Clock) -> None:
        self._members = members
        self._peers = peers
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    def broadcast(self, message: Message) -> None:
        """Start sending a message to every host that may be alive."""
        for member in self._members.present():
            task = asyncio.ensure_future(self._send(member.address, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, address: PeerAddress, message: Message) -> None:
        deadline_s = self._clock.now_s() + NOTICE_TIMEOUT_S
        with contextlib.suppress(PeerUnreachableError):
            await self._peers.call(address, message, deadline_s)
