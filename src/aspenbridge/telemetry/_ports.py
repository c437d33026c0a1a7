"""Ports that put a span and a timer around each hop."""

from __future__ import annotations

import time
from contextlib import aclosing, contextmanager
from typing import TYPE_CHECKING, Any

import attrs
from opentelemetry.trace import SpanKind
from returns.result import Failure

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Iterator, Sequence

    from opentelemetry.trace import Span, Tracer
    from returns.result import Result

    from aspenbridge.ports import (
        Committed,
        Conflict,
        Engine,
        EngineClient,
        EngineLoad,
        EngineOrder,
        Generate,
        GeneratedChunk,
        Metrics,
        ObjectStore,
        Page,
        PeerAddress,
        PeerTransport,
        Row,
        RowKey,
        ServiceCall,
        ServiceClient,
        ServiceReply,
        TableService,
        Transaction,
        Unavailable,
    )
    from aspenbridge.work import Admission, Grant, Work


@attrs.frozen
class CallRecorder:
    """Measures calls to the outside."""

    tracer: Tracer
    metrics: Metrics

    @contextmanager
    def hop(self, name: str, **attributes: str | int) -> Iterator[Span]:
        """Put a span and a timer around one call."""
        span = self.tracer.start_span(name, None, SpanKind.CLIENT, attributes)
        started_s = time.perf_counter()
        try:
            yield span
        except BaseException as error:
            span.set_attribute("error.type", type(error).__name__)
            self.metrics.count(f"{name}.failed")
            raise
        finally:
            span.end()
            self.metrics.time(name, time.perf_counter() - started_s)

    def judge(self, span: Span, name: str, result: Result[Any, Any]) -> None:
        """Mark the span of an operation that failed."""
        if isinstance(result, Failure):
            span.set_attribute("error.type", type(result.failure()).__name__)
            self.metrics.count(f"{name}.failed")


@attrs.frozen
class MeasuredTable:
    """A table service whose calls are measured."""

    inner: TableService
    hops: CallRecorder

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | Unavailable]:
        """Apply all writes of a transaction, or none."""
        rows = len(transaction.puts) + len(transaction.deletes)
        with self.hops.hop("store.commit", rows=rows) as span:
            result = await self.inner.transact(transaction)
            self.hops.judge(span, "store.commit", result)
            return result

    async def read(
        self, keys: Sequence[RowKey]
    ) -> Result[tuple[Row | None, ...], Unavailable]:
        """Return the rows in the order of the keys."""
        with self.hops.hop("store.read", rows=len(keys)) as span:
            result = await self.inner.read(keys)
            self.hops.judge(span, "store.read", result)
            return result

    async def scan(
        self, table: str, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[Page, Unavailable]:
        """Return rows whose key has the prefix, in key order."""
        with self.hops.hop("store.scan", table=table) as span:
            result = await self.inner.scan(table, prefix, after=after, limit=limit)
            self.hops.judge(span, "store.scan", result)
            return result


@attrs.frozen
class MeasuredObjects:
    """An object store whose calls are measured."""

    inner: ObjectStore
    hops: CallRecorder

    async def put(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """Write an object."""
        with self.hops.hop("objects.put", size_bytes=len(body)) as span:
            result = await self.inner.put(name, body)
            self.hops.judge(span, "objects.put", result)
            return result

    async def get(self, name: str) -> Result[bytes | None, Unavailable]:
        """Return an object, or None."""
        with self.hops.hop("objects.get") as span:
            result = await self.inner.get(name)
            self.hops.judge(span, "objects.get", result)
            return result

    async def delete(self, name: str) -> Result[None, Unavailable]:
        """Remove an object."""
        with self.hops.hop("objects.delete"):
            return await self.inner.delete(name)


@attrs.frozen
class MeasuredPeers:
    """A peer transport whose calls are measured."""

    inner: PeerTransport
    hops: CallRecorder

    async def call(self, address: PeerAddress, message: Any, deadline_s: float) -> Any:
        """Send a message and return the reply."""
        kind = type(message).__name__
        with self.hops.hop("peer.call", message=kind, peer=str(address)):
            return await self.inner.call(address, message, deadline_s)


@attrs.frozen
class MeasuredEngines:
    """An engine client whose calls are measured."""

    inner: EngineClient
    hops: CallRecorder

    async def generate(
        self, engine: Engine, call: Generate
    ) -> AsyncGenerator[GeneratedChunk, None]:
        """Run one generation and yield its chunks as they come."""
        with self.hops.hop("engine.attempt", engine=engine.name) as span:
            tokens = 0
            async with aclosing(self.inner.generate(engine, call)) as chunks:
                async for chunk in chunks:
                    tokens += chunk.tokens
                    yield chunk
            span.set_attribute("tokens", tokens)
            self.hops.metrics.count("engine.tokens", tokens)

    async def cancel(self, engine: Engine, attempt_id: str) -> None:
        """Stop a generation."""
        self.hops.metrics.count("engine.cancel")
        await self.inner.cancel(engine, attempt_id)

    async def load(self, engine: Engine) -> EngineLoad:
        """Return the last load report."""
        return await self.inner.load(engine)

    async def order(self, engine: Engine, order: EngineOrder) -> bool:
        """Give an order; return False when its fence is old."""
        with self.hops.hop("engine.order", engine=engine.name, kind=order.kind):
            return await self.inner.order(engine, order)


@attrs.frozen
class MeasuredServices:
    """A service client whose calls are measured."""

    inner: ServiceClient
    hops: CallRecorder

    async def call(self, call: ServiceCall, deadline_s: float) -> ServiceReply:
        """Make one call, once."""
        with self.hops.hop("service.call", method=call.method):
            return await self.inner.call(call, deadline_s)


@attrs.frozen
class MeasuredAdmission:
    """Admission whose waits are measured."""

    inner: Admission
    hops: CallRecorder

    async def acquire(
        self, work: Work, engines: Sequence[Engine], *, avoid: frozenset[str]
    ) -> Grant:
        """Wait for a place on one of the engines."""
        with self.hops.hop("admission", model=work.model) as span:
            grant = await self.inner.acquire(work, engines, avoid=avoid)
            span.set_attribute("engine", grant.engine.name)
            return grant

    def release(
        self, grant: Grant, *, tokens: int, failed: bool, cached_tokens: int = 0
    ) -> None:
        """Give a place back."""
        self.inner.release(
            grant, tokens=tokens, failed=failed, cached_tokens=cached_tokens
        )
