"""A peer transport between the hosts of one process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aspenbridge.ports import PeerUnreachableError

if TYPE_CHECKING:
    from aspenbridge.ports import PeerAddress, PeerHandler


class LocalPeers:
    """Passes each message directly to the handler of its address."""

    def __init__(self) -> None:
        self.handlers: dict[PeerAddress, PeerHandler] = {}

    async def call(self, address: PeerAddress, message: Any, deadline_s: float) -> Any:
        """
        Call the handler of an address and return its reply.

        :param deadline_s: not used; the call ends when the handler returns.
        :raises PeerUnreachableError: when no handler has the address.
        """
        handler = self.handlers.get(address)
        if handler is None:
            raise PeerUnreachableError(address, "no such host", sent=False)
        return await handler.handle(message)
