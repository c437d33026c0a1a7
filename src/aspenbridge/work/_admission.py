"""Admission: a place on an engine, given before work is sent there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aspenbridge.ports import Engine

    from ._work import Work


@attrs.define(eq=False)
class Grant:
    """A place on one engine; its holder stops when it is revoked."""

    grant_id: str
    engine: Engine
    group: str = ""
    revoked: asyncio.Event = attrs.field(factory=asyncio.Event)


class Admission(Protocol):
    """Hands out places on engines."""

    async def acquire(
        self, work: Work, engines: Sequence[Engine], *, avoid: frozenset[str]
    ) -> Grant:
        """
        Wait for a place on one of the engines.

        :param engines: where the configuration lets the work run.
        :param avoid: names of engines that failed this work before.
        :raises ProblemError: when there is no place before the deadline.
        """

    def release(
        self, grant: Grant, *, tokens: int, failed: bool, cached_tokens: int = 0
    ) -> None:
        """
        Give a place back; never waits.

        :param tokens: how many were generated there.
        :param failed: whether the engine is to blame for an early end.
        :param cached_tokens: prompt tokens that the engine did not read again.
        """
