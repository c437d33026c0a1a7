"""Protocols for messages between hosts."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol


class PeerAddress(NamedTuple):
    """The address at which a host listens for messages of its peers."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> PeerAddress:
        """
        Parse an address of the form ``ip:port``.

        :raises ValueError: if the port is not a number.
        """
        ip, _, port = text.rpartition(":")
        return cls(ip, int(port))

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


class PeerUnreachableError(Exception):
    """A peer did not reply; ``sent`` tells whether it may have the message."""

    def __init__(self, address: PeerAddress, reason: str, *, sent: bool) -> None:
        super().__init__(f"peer {address} did not reply: {reason}")
        self.address = address
        self.sent = sent


class PeerHandler(Protocol):
    """Handles the messages that other hosts send to this one."""

    async def handle(self, message: Any) -> Any:
        """Return the reply; both are messages of ``aspenbridge.peers``."""


class PeerTransport(Protocol):
    """Sends messages of ``aspenbridge.peers`` to other hosts."""

    async def call(self, address: PeerAddress, message: Any, deadline_s: float) -> Any:
        """
        Send a message and return the reply.

        :param deadline_s: when to stop waiting, in seconds of ``Clock.now_s``.
        :raises PeerUnreachableError: if no reply came by the deadline.
        """
