"""What a generation asks of the record of requests that crash engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from aspenbridge.work import Work


class CrashGuard(Protocol):
    """Holds back requests that ran on engines when they crashed."""

    async def wait_until_allowed(self, work: Work, engine: str) -> None:
        """Wait until work may run on an engine, or raise a problem."""

    async def record_crash(self, work: Work, engine: str) -> None:
        """Record a crash, and raise a problem if it convicts the work."""

    def clear(self, work: Work) -> None:
        """Clear work that has completed."""

    def end_isolated_run(self, work: Work) -> None:
        """End an attempt, however it went."""


class NoGuard:
    """Suspects nobody."""

    async def wait_until_allowed(self, work: Work, engine: str) -> None:
        """Return at once."""

    async def record_crash(self, work: Work, engine: str) -> None:
        """Record nothing."""

    def clear(self, work: Work) -> None:
        """Clear nothing."""

    def end_isolated_run(self, work: Work) -> None:
        """End nothing."""
