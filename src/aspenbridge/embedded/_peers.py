"""Messages between hosts that live in one process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aspenbridge.ports import PeerUnreachableError

if TYPE_CHECKING:
    from aspenbridge.ports import PeerAddress, PeerHandler


class LocalPeers:
    """Delivers messages to handlers by address."""

    def __init__(self) -> None:
        self.handlers: dict[PeerAddress, PeerHandler] = {}

    async def call(self, address: PeerAddress, message: Any, deadline_s: float) -> Any:
        """
        Hand a message to its handler and return the reply.

        :raises PeerUnreachableError: when no handler has the address.
        """
        handler = self.handlers.get(address)
        if handler is None:
            raise PeerUnreachableError(address, "no such host", sent=False)
        return await handler.handle(message)
