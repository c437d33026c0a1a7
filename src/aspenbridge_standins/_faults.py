"""Faults of a stand-in, switched from its control address."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result

from aspenbridge.ports import Unavailable

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random
    from typing import TypeVar

    from aspenbridge.ports import Clock

    Answer = TypeVar("Answer")
    Error = TypeVar("Error")


@attrs.define
class Faults:
    """What is wrong with a stand-in at the moment."""

    down: bool = False
    delay_s: float = 0.0
    lose_reply_share: float = 0.0
    writes_per_s: float = 500.0
    reads_per_s: float = 2000.0


class TokenBucket:
    """Admits a steady rate with a burst of one second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._level = 1.0
        self._at_s = clock.now_s()

    def take(self, rate_per_s: float) -> bool:
        """Return whether one more operation fits the rate."""
        now_s = self._clock.now_s()
        filled = self._level + (now_s - self._at_s) * rate_per_s
        self._level = min(filled, max(rate_per_s, 1.0))
        self._at_s = now_s
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class FaultyCalls:
    """Puts the faults around each operation of a platform service."""

    def __init__(self, faults: Faults, clock: Clock, random: Random) -> None:
        self.faults = faults
        self._clock = clock
        self._random = random
        self._reads = TokenBucket(clock)
        self._writes = TokenBucket(clock)
        self.read_count = 0
        self.write_count = 0

    async def read(
        self, operation: Callable[[], Awaitable[Result[Answer, Error]]]
    ) -> Result[Answer, Error | Unavailable]:
        """Run a read under the faults."""
        self.read_count += 1
        return await self._run(operation, self._reads, self.faults.reads_per_s)

    async def write(
        self, operation: Callable[[], Awaitable[Result[Answer, Error]]]
    ) -> Result[Answer, Error | Unavailable]:
        """Run a write under the faults."""
        self.write_count += 1
        return await self._run(operation, self._writes, self.faults.writes_per_s)

    async def _run(
        self,
        operation: Callable[[], Awaitable[Result[Answer, Error]]],
        bucket: TokenBucket,
        rate_per_s: float,
    ) -> Result[Answer, Error | Unavailable]:
        if self.faults.down:
            return Failure(Unavailable("the service is down", maybe_applied=False))
        if not bucket.take(rate_per_s):
            return Failure(Unavailable("the rate is exceeded", maybe_applied=False))
        if self.faults.delay_s:
            await self._clock.sleep_until(self._clock.now_s() + self.faults.delay_s)
        result = await operation()
        if self._random.random() < self.faults.lose_reply_share:
            return Failure(Unavailable("the reply was lost", maybe_applied=True))
        return result
