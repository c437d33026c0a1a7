"""The interface through which generations isolate suspected requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from aspenbridge.work import Work


class CrashGuard(Protocol):
    """
    Isolates suspects: requests that were running when an engine crashed.

    A suspect runs without other suspects on its engine, and is quarantined
    after several crashes.
    """

    async def wait_until_allowed(self, work: Work, engine: str) -> None:
        """
        Wait until work may run on an engine.

        :raises ProblemError: if the work is quarantined, or if it can't start
            before its deadline.
        """

    async def record_crash(self, work: Work, engine: str) -> None:
        """
        Record that an engine crashed while it was running work.

        :raises ProblemError: if the work is now quarantined.
        """

    def clear(self, work: Work) -> None:
        """Clear the suspicion of work that has completed."""

    def end_isolated_run(self, work: Work) -> None:
        """End the isolated run of work, if any, whatever its result."""


class NoGuard:
    """A guard that suspects no request."""

    async def wait_until_allowed(self, work: Work, engine: str) -> None:
        """Return at once."""

    async def record_crash(self, work: Work, engine: str) -> None:
        """Record nothing."""

    def clear(self, work: Work) -> None:
        """Clear nothing."""

    def end_isolated_run(self, work: Work) -> None:
        """End nothing."""
