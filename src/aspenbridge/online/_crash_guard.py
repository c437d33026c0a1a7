"""What a generation asks of the record of requests that crash engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from aspenbridge.work import Work


class CrashGuard(Protocol):
    """Holds back requests that ran on engines when they crashed."""

    async def before(self, work: Work, engine: str) -> None:
        """Wait until work may run on an engine, or raise a problem."""

    async def crashed(self, work: Work, engine: str) -> None:
        """Record a crash, and raise a problem if it convicts the work."""

    def finished(self, work: Work) -> None:
        """Clear work that has completed."""

    def ended(self, work: Work) -> None:
        """End an attempt, however it went."""


class NoGuard:
    """Suspects nobody."""

    async def before(self, work: Work, engine: str) -> None:
        """Return at once."""

    async def crashed(self, work: Work, engine: str) -> None:
        """Record nothing."""

    def finished(self, work: Work) -> None:
        """Clear nothing."""

    def ended(self, work: Work) -> None:
        """End nothing."""
