"""Calls to model engines over HTTP with server-sent events."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import msgspec

from aspenbridge.ports import (
    CallOutcome,
    EngineFailure,
    EngineLoad,
    GeneratedChunk,
)
from aspenbridge.telemetry import TRACEPARENT, current_traceparent

from ._session import never_sent

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from aspenbridge.ports import Engine, EngineOrder, Generate

DATA = b"data: "
STALL_LIMIT_S = 30.0
CONTROL_LIMIT_S = 2.0
EVENT_LIMIT_BYTES = 1_000_000
OK = 200
CONFLICT = 409
_decoder = msgspec.json.Decoder(GeneratedChunk)


class HttpEngines:
    """The engine client of a host."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._stream_timeout = aiohttp.ClientTimeout(sock_read=STALL_LIMIT_S)
        self._control_timeout = aiohttp.ClientTimeout(total=CONTROL_LIMIT_S)

    async def generate(
        self, engine: Engine, call: Generate
    ) -> AsyncGenerator[GeneratedChunk, None]:
        """
        Run one generation and yield its chunks as they come.

        :raises EngineFailure: when it is refused or broken off.
        """
        url = f"http://{engine.address}/v1/generate"
        body = msgspec.json.encode(call)
        try:
            async with self._session.post(
                url, data=body, headers=_trace(), timeout=self._stream_timeout
            ) as response:
                if response.status != OK:
                    reason = f"status {response.status}"
                    raise EngineFailure(engine.name, CallOutcome.REFUSED, reason)
                async for chunk in _chunks(response.content):
                    yield chunk
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            raise _failure(engine, error) from error

    async def cancel(self, engine: Engine, attempt_id: str) -> None:
        """Stop a generation."""
        url = f"http://{engine.address}/v1/cancel/{attempt_id}"
        try:
            async with self._session.post(url, timeout=self._control_timeout):
                return
        except (aiohttp.ClientError, TimeoutError):
            return

    async def load(self, engine: Engine) -> EngineLoad:
        """
        Return the last load report.

        :raises EngineFailure: when the engine does not answer.
        """
        url = f"http://{engine.address}/v1/load"
        try:
            async with self._session.get(
                url, timeout=self._control_timeout
            ) as response:
                body = await response.read()
                return msgspec.json.decode(body, type=EngineLoad)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            raise _failure(engine, error) from error

    async def order(self, engine: Engine, order: EngineOrder) -> bool:
        """
        Give an order; return False when its fence is old.

        :raises EngineFailure: when the engine does not answer.
        """
        url = f"http://{engine.address}/v1/orders"
        body = msgspec.json.encode(order)
        try:
            async with self._session.post(
                url, data=body, timeout=self._control_timeout
            ) as response:
                return response.status != CONFLICT
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _failure(engine, error) from error


async def _chunks(
    content: aiohttp.StreamReader,
) -> AsyncGenerator[GeneratedChunk, None]:
    """Yield one chunk for all events that have come since the last one."""
    rest = b""
    async for data in content.iter_any():
        *lines, rest = (rest + data).split(b"\n")
        if len(rest) > EVENT_LIMIT_BYTES:
            raise msgspec.DecodeError(f"an event has more than {len(rest)} bytes")
        chunks = [
            _decoder.decode(line[len(DATA) :])
            for line in lines
            if line.startswith(DATA)
        ]
        if chunks:
            yield chunks[0] if len(chunks) == 1 else _joined(chunks)


def _joined(chunks: list[GeneratedChunk]) -> GeneratedChunk:
    return GeneratedChunk(
        text="".join(chunk.text for chunk in chunks),
        tokens=sum(chunk.tokens for chunk in chunks),
        finish_reason=chunks[-1].finish_reason,
        cached_tokens=max(chunk.cached_tokens for chunk in chunks),
    )


def _trace() -> dict[str, str]:
    traceparent = current_traceparent()
    return {TRACEPARENT: traceparent} if traceparent else {}


def _failure(engine: Engine, error: Exception) -> EngineFailure:
    outcome = CallOutcome.NOT_SENT if never_sent(error) else CallOutcome.BROKEN
    return EngineFailure(engine.name, outcome, type(error).__name__)
