"""Faults of a stand-in; ``POST /control/faults`` sets them."""

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
    """
    The current faults of a stand-in.

    :ivar down: whether all operations fail.
    :ivar delay_s: the time that each operation takes in addition.
    :ivar lose_reply_share: the share of operations, from 0.0 to 1.0, that are
        applied but reported as failed.
    :ivar writes_per_s: the rate above which writes fail.
    :ivar reads_per_s: the rate above which reads fail.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_reply_share: float = 0.0
    writes_per_s: float = 500.0
    reads_per_s: float = 2000.0


class TokenBucket:
    """Admits a steady rate, and bursts of one second's operations."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens = 1.0
        self._updated_s = clock.now_s()

    def try_consume(self, rate_per_s: float) -> bool:
        """Consume a token; return False if the rate admits no operation."""
        now_s = self._clock.now_s()
        refilled = self._tokens + (now_s - self._updated_s) * rate_per_s
        self._tokens = min(refilled, max(rate_per_s, 1.0))
        self._updated_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class FaultyCalls:
    """
    Applies the faults to each operation of a platform service.

    :ivar read_count: the number of reads that were called, failed or not.
    :ivar write_count: the number of writes that were called, failed or not.
    """

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
        """Count a read and run it, subject to the faults."""
        self.read_count += 1
        return await self._run(operation, self._reads, self.faults.reads_per_s)

    async def write(
        self, operation: Callable[[], Awaitable[Result[Answer, Error]]]
    ) -> Result[Answer, Error | Unavailable]:
        """Count a write and run it, subject to the faults."""
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
        if not bucket.try_consume(rate_per_s):
            return Failure(Unavailable("the rate is exceeded", maybe_applied=False))
        if self.faults.delay_s:
            await self._clock.sleep_until(self._clock.now_s() + self.faults.delay_s)
        result = await operation()
        if self._random.random() < self.faults.lose_reply_share:
            return Failure(Unavailable("the reply was lost", maybe_applied=True))
        return result
