"""Admission control: a request gets an engine slot before it is sent."""

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
    """
    A slot on one engine, granted to one request.

    ``group`` is the name of the engine's group, or empty if the host assigns
    its slots without groups. ``revoked`` is set when the slot is taken back;
    the request must then stop running on the engine.
    """

    grant_id: str
    engine: Engine
    group: str = ""
    revoked: asyncio.Event = attrs.field(factory=asyncio.Event)


class Admission(Protocol):
    """Assigns engine slots to requests."""

    async def acquire(
        self, work: Work, engines: Sequence[Engine], *, avoid: frozenset[str]
    ) -> Grant:
        """
        Wait for a slot on one of the engines.

        :param engines: the engines that the configuration allows for the work.
        :param avoid: names of engines on which this work has already failed;
            they are used only if no other engine is allowed.
        :raises ProblemError: if no engine is allowed, or no slot becomes free
            in time.
        """

    def release(
        self, grant: Grant, *, tokens: int, failed: bool, cached_tokens: int = 0
    ) -> None:
        """
        Return a slot; does not block.

        :param tokens: number of tokens generated in the slot.
        :param failed: whether the generation ended early because the engine
            failed.
        :param cached_tokens: number of prompt tokens that the engine read from
            its prefix cache instead of computing them.
        """
