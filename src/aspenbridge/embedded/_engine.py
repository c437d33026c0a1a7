"""A simulated model engine with continuous batching."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from aspenbridge.ports import (
    CallOutcome,
    EngineFailure,
    EngineLoad,
    GeneratedChunk,
)

from ._prefix_cache import PrefixCache
from ._text import token_text

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from aspenbridge.ports import Clock, Generate


@attrs.frozen
class EngineProfile:
    """
    Timing and memory of a simulated engine.

    A step generates one token for each running sequence. It takes
    ``base_step_s``, plus ``step_per_sequence_s`` for each running sequence,
    plus ``prefill_per_token_s`` for each token to prefill: those prompt tokens
    of new sequences that are not cached, and tokens of resumed text.
    """

    base_step_s: float = 0.010
    step_per_sequence_s: float = 0.0005
    prefill_per_token_s: float = 0.0001
    kv_limit_tokens: int = 200_000
    cache_limit_tokens: int = 50_000


@attrs.define(eq=False)
class _Sequence:
    """A running generation; ``next_index`` is the index of its next token."""

    call: Generate
    chunks: asyncio.Queue[GeneratedChunk | EngineFailure]
    next_index: int
    prefill_tokens: int
    cached_tokens: int


class EmbeddedEngine:
    """Starts each sequence immediately; has no queue, limit or priorities."""

    def __init__(self, name: str, clock: Clock, profile: EngineProfile) -> None:
        self.name = name
        self._clock = clock
        self._profile = profile
        self._running: dict[str, _Sequence] = {}
        self._step_task: asyncio.Task[None] | None = None
        self._cache = PrefixCache(profile.cache_limit_tokens)
        self.generations_started = 0

    async def generate(self, call: Generate) -> AsyncGenerator[GeneratedChunk, None]:
        """
        Start a sequence immediately and yield a chunk for each token.

        :raises EngineFailure: when the sequence is cancelled or the engine
            crashes.
        """
        self.generations_started += 1
        prompt_tokens, cached_tokens = self._cache.read(call.prompt, call.adapter)
        sequence = _Sequence(
            call=call,
            chunks=asyncio.Queue(),
            next_index=call.resume_tokens,
            prefill_tokens=prompt_tokens - cached_tokens + call.resume_tokens,
            cached_tokens=cached_tokens,
        )
        self._running[call.attempt_id] = sequence
        if self._step_task is None:
            self._step_task = asyncio.ensure_future(self._run_steps())
        try:
            while True:
                chunk = await sequence.chunks.get()
                if isinstance(chunk, EngineFailure):
                    raise chunk
                yield chunk
                if chunk.finish_reason is not None:
                    return
        finally:
            self._running.pop(call.attempt_id, None)

    def cancel(self, attempt_id: str) -> None:
        """Fail a running sequence; an unknown one is no error."""
        sequence = self._running.pop(attempt_id, None)
        if sequence is not None:
            self._fail(sequence, "cancelled")

    def crash(self) -> None:
        """Fail all running sequences and clear the prefix cache."""
        for sequence in self._running.values():
            self._fail(sequence, "the engine crashed")
        self._running.clear()
        self._cache.clear()

    def report(self) -> EngineLoad:
        """Return the current load."""
        return EngineLoad(
            running=len(self._running),
            waiting=0,
            kv_used_tokens=sum(item.next_index for item in self._running.values()),
            kv_limit_tokens=self._profile.kv_limit_tokens,
            step_s=self._step_s(0),
        )

    def _fail(self, sequence: _Sequence, reason: str) -> None:
        failure = EngineFailure(self.name, CallOutcome.BROKEN, reason)
        sequence.chunks.put_nowait(failure)

    def _step_s(self, prefill_tokens: int) -> float:
        profile = self._profile
        decode_s = profile.base_step_s + profile.step_per_sequence_s * len(
            self._running
        )
        return decode_s + profile.prefill_per_token_s * prefill_tokens

    async def _run_steps(self) -> None:
        while self._running:
            prefill_tokens = sum(item.prefill_tokens for item in self._running.values())
            for item in self._running.values():
                item.prefill_tokens = 0
            await self._clock.sleep_until(
                self._clock.now_s() + self._step_s(prefill_tokens)
            )
            for attempt_id, sequence in list(self._running.items()):
                if self._generate_token(sequence):
                    self._running.pop(attempt_id, None)
        self._step_task = None

    def _generate_token(self, sequence: _Sequence) -> bool:
        """Generate one token and return whether it was the last one."""
        call = sequence.call
        text = token_text(call.prompt, sequence.next_index)
        sequence.next_index += 1
        done = sequence.next_index >= call.max_tokens
        reason = "stop" if done else None
        cached = sequence.cached_tokens
        sequence.cached_tokens = 0
        sequence.chunks.put_nowait(GeneratedChunk(text, 1, reason, cached))
        return done
