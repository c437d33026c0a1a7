"""Messages between hosts."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol


class PeerAddress(NamedTuple):
    """Where a host listens for its peers."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> PeerAddress:
        """
        Read an address of the form ``ip:port``.

        :raises ValueError: when the text has another form.
        """
        ip, _, port = text.rpartition(":")
        return cls(ip, int(port))

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


class PeerUnreachableError(Exception):
    """A peer gave no answer to a message."""

    def __init__(self, address: PeerAddress, reason: str, *, sent: bool) -> None:
        super().__init__(f"peer {address} gave no answer: {reason}")
        self.address = address
        self.sent = sent


class PeerHandler(Protocol):
    """Answers the messages that other hosts send to this one."""

    async def handle(self, message: Any) -> Any:
        """Return the reply to a message, both classes of ``peers``."""


class PeerTransport(Protocol):
    """Sends typed messages of ``aspenbridge.peers`` to other hosts."""

    async def call(self, address: PeerAddress, message: Any, deadline_s: float) -> Any:
        """
        Send a message and return the reply.

        :param deadline_s: when to give up, on the clock's monotonic scale.
        :raises PeerUnreachableError: when no reply came by the deadline.
        """
