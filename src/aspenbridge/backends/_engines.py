"""HTTP client for model engines; generations stream as server-sent events."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import msgspec

from aspenbridge.client_connections import read_body
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

DATA_PREFIX = b"data: "
STREAM_STALL_TIMEOUT_S = 30.0
CONTROL_TIMEOUT_S = 2.0
MAX_EVENT_BYTES = 1_000_000
MAX_REPLY_BYTES = 1024 * 1024  # of any reply that is not a stream
STATUS_OK = 200
STATUS_CONFLICT = 409
_chunk_decoder = msgspec.json.Decoder(GeneratedChunk)


class HttpEngines:
    """Sends generations, load queries and orders to engines."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._stream_timeout = aiohttp.ClientTimeout(sock_read=STREAM_STALL_TIMEOUT_S)
        self._control_timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)

    async def generate(
        self, engine: Engine, call: Generate
    ) -> AsyncGenerator[GeneratedChunk, None]:
        """
        Run one generation and yield its chunks as they arrive.

        :raises EngineFailure: when the engine refuses the generation, the
            connection fails or delivers no data for
            ``STREAM_STALL_TIMEOUT_S``, or a chunk can't be decoded.
        """
        url = f"http://{engine.address}/v1/generate"
        body = msgspec.json.encode(call)
        try:
            async with self._session.post(
                url,
                data=body,
                headers=_trace_headers(),
                timeout=self._stream_timeout,
                allow_redirects=False,
            ) as response:
                if response.status != STATUS_OK:
                    reason = f"status {response.status}"
                    raise EngineFailure(engine.name, CallOutcome.REFUSED, reason)
                async for chunk in _decode_chunks(response.content):
                    yield chunk
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            raise _to_engine_failure(engine, error) from error

    async def cancel(self, engine: Engine, attempt_id: str) -> None:
        """Ask an engine to stop a generation; a failed call is ignored."""
        url = f"http://{engine.address}/v1/cancel/{attempt_id}"
        try:
            async with self._session.post(
                url, timeout=self._control_timeout, allow_redirects=False
            ):
                return
        except (aiohttp.ClientError, TimeoutError):
            return

    async def load(self, engine: Engine) -> EngineLoad:
        """
        Return the engine's last load report.

        :raises EngineFailure: when the call fails or the reply can't be
            decoded.
        """
        url = f"http://{engine.address}/v1/load"
        try:
            async with self._session.get(
                url, timeout=self._control_timeout, allow_redirects=False
            ) as response:
                body = await read_body(response, MAX_REPLY_BYTES)
                return msgspec.json.decode(body, type=EngineLoad)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            raise _to_engine_failure(engine, error) from error

    async def order(self, engine: Engine, order: EngineOrder) -> bool:
        """
        Send an order; return False when its fence is out of date.

        Only status 409 means an outdated fence; each other status returns
        True.

        :raises EngineFailure: when the call fails.
        """
        url = f"http://{engine.address}/v1/orders"
        body = msgspec.json.encode(order)
        try:
            async with self._session.post(
                url,
                data=body,
                timeout=self._control_timeout,
                allow_redirects=False,
            ) as response:
                return response.status != STATUS_CONFLICT
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _to_engine_failure(engine, error) from error


async def _decode_chunks(
    content: aiohttp.StreamReader,
) -> AsyncGenerator[GeneratedChunk, None]:
    """
    Decode an event stream and yield its chunks.

    The events that one read completes are merged into one chunk.

    :raises msgspec.DecodeError: when an event is malformed or an incomplete
        one exceeds ``MAX_EVENT_BYTES``.
    """
    incomplete = b""
    async for data in content.iter_any():
        *lines, incomplete = (incomplete + data).split(b"\n")
        if len(incomplete) > MAX_EVENT_BYTES:
            raise msgspec.DecodeError(
                f"an incomplete event already has {len(incomplete)} bytes"
            )
        chunks = [
            _chunk_decoder.decode(line[len(DATA_PREFIX) :])
            for line in lines
            if line.startswith(DATA_PREFIX)
        ]
        if chunks:
            yield chunks[0] if len(chunks) == 1 else _merge(chunks)


def _merge(chunks: list[GeneratedChunk]) -> GeneratedChunk:
    return GeneratedChunk(
        text="".join(chunk.text for chunk in chunks),
        tokens=sum(chunk.tokens for chunk in chunks),
        finish_reason=chunks[-1].finish_reason,
        cached_tokens=max(chunk.cached_tokens for chunk in chunks),
    )


def _trace_headers() -> dict[str, str]:
    traceparent = current_traceparent()
    return {TRACEPARENT: traceparent} if traceparent else {}


def _to_engine_failure(engine: Engine, error: Exception) -> EngineFailure:
    outcome = CallOutcome.NOT_SENT if never_sent(error) else CallOutcome.BROKEN
    return EngineFailure(engine.name, outcome, type(error).__name__)
