"""Ports that record a span and a duration for each call to another process."""

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
    """Records calls to other processes as spans and metrics."""

    tracer: Tracer
    metrics: Metrics

    @contextmanager
    def record(self, name: str, **attributes: str | int) -> Iterator[Span]:
        """
        Record a span and the duration of the enclosed call.

        An exception is counted as ``<name>.failed`` and raised again.

        :param name: the name of the span and of the metric.
        :param attributes: attributes of the span.
        """
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

    def check_result(self, span: Span, name: str, result: Result[Any, Any]) -> None:
        """If the result is a failure, mark the span and count it."""
        if isinstance(result, Failure):
            span.set_attribute("error.type", type(result.failure()).__name__)
            self.metrics.count(f"{name}.failed")


@attrs.frozen
class MeasuredTable:
    """A table service that records its calls."""

    inner: TableService
    recorder: CallRecorder

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | Unavailable]:
        """Apply all writes of a transaction, or none of them."""
        rows = len(transaction.puts) + len(transaction.deletes)
        with self.recorder.record("store.commit", rows=rows) as span:
            result = await self.inner.transact(transaction)
            self.recorder.check_result(span, "store.commit", result)
            return result

    async def read(
        self, keys: Sequence[RowKey]
    ) -> Result[tuple[Row | None, ...], Unavailable]:
        """Return the rows in the order of the keys."""
        with self.recorder.record("store.read", rows=len(keys)) as span:
            result = await self.inner.read(keys)
            self.recorder.check_result(span, "store.read", result)
            return result

    async def scan(
        self, table: str, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[Page, Unavailable]:
        """Return one page of the rows whose key has a prefix, in key order."""
        with self.recorder.record("store.scan", table=table) as span:
            result = await self.inner.scan(table, prefix, after=after, limit=limit)
            self.recorder.check_result(span, "store.scan", result)
            return result


@attrs.frozen
class MeasuredObjects:
    """An object store that records its calls."""

    inner: ObjectStore
    recorder: CallRecorder

    async def put(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """Write an object."""
        with self.recorder.record("objects.put", size_bytes=len(body)) as span:
            result = await self.inner.put(name, body)
            self.recorder.check_result(span, "objects.put", result)
            return result

    async def get(self, name: str) -> Result[bytes | None, Unavailable]:
        """Return an object, or None if it does not exist."""
        with self.recorder.record("objects.get") as span:
            result = await self.inner.get(name)
            self.recorder.check_result(span, "objects.get", result)
            return result

    async def delete(self, name: str) -> Result[None, Unavailable]:
        """Remove an object; a failed call is not counted as failed."""
        with self.recorder.record("objects.delete"):
            return await self.inner.delete(name)


@attrs.frozen
class MeasuredPeers:
    """A peer transport that records its calls."""

    inner: PeerTransport
    recorder: CallRecorder

    async def call(self, address: PeerAddress, message: Any, deadline_s: float) -> Any:
        """Send a message and return the reply."""
        kind = type(message).__name__
        with self.recorder.record("peer.call", message=kind, peer=str(address)):
            return await self.inner.call(address, message, deadline_s)


@attrs.frozen
class MeasuredEngines:
    """
    An engine client that records generations and orders.

    Cancellations are only counted, and requests for the load not recorded.
    """

    inner: EngineClient
    recorder: CallRecorder

    async def generate(
        self, engine: Engine, call: Generate
    ) -> AsyncGenerator[GeneratedChunk, None]:
        """Run one generation and yield its chunks as they arrive."""
        with self.recorder.record("engine.attempt", engine=engine.name) as span:
            tokens = 0
            async with aclosing(self.inner.generate(engine, call)) as chunks:
                async for chunk in chunks:
                    tokens += chunk.tokens
                    yield chunk
            span.set_attribute("tokens", tokens)
            self.recorder.metrics.count("engine.tokens", tokens)

    async def cancel(self, engine: Engine, attempt_id: str) -> None:
        """Stop a generation that runs on an engine."""
        self.recorder.metrics.count("engine.cancel")
        await self.inner.cancel(engine, attempt_id)

    async def load(self, engine: Engine) -> EngineLoad:
        """Return the last load report of an engine."""
        return await self.inner.load(engine)

    async def order(self, engine: Engine, order: EngineOrder) -> bool:
        """Send an order; return False if its fencing token is out of date."""
        with self.recorder.record("engine.order", engine=engine.name, kind=order.kind):
            return await self.inner.order(engine, order)


@attrs.frozen
class MeasuredServices:
    """A service client that records its calls."""

    inner: ServiceClient
    recorder: CallRecorder

    async def call(self, call: ServiceCall, deadline_s: float) -> ServiceReply:
        """Make one call, without retries."""
        with self.recorder.record("service.call", method=call.method):
            return await self.inner.call(call, deadline_s)


@attrs.frozen
class MeasuredAdmission:
    """Admission that records how long each request waits for a slot."""

    inner: Admission
    recorder: CallRecorder

    async def acquire(
        self, work: Work, engines: Sequence[Engine], *, avoid: frozenset[str]
    ) -> Grant:
        """Wait for a slot on one of the engines."""
        with self.recorder.record("admission", model=work.model) as span:
            grant = await self.inner.acquire(work, engines, avoid=avoid)
            span.set_attribute("engine", grant.engine.name)
            return grant

    def release(
        self, grant: Grant, *, tokens: int, failed: bool, cached_tokens: int = 0
    ) -> None:
        """Release the slot of a grant."""
        self.inner.release(
            grant, tokens=tokens, failed=failed, cached_tokens=cached_tokens
        )
