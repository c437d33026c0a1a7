"""
Sends OpenTelemetry spans on the event loop of the host.

The batch processor of the SDK would start a thread; a host runs in one.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import aiohttp
import attrs
from opentelemetry.exporter.otlp.proto.common.trace_encoder import encode_spans
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased

if TYPE_CHECKING:
    from opentelemetry.sdk.trace import ReadableSpan
    from opentelemetry.trace import Tracer

    from aspenbridge.ports import Clock, Metrics
    from aspenbridge.settings import HostSettings, TelemetrySettings

MAX_QUEUED_SPANS = 4096
MAX_BATCH_SPANS = 512
SEND_INTERVAL_S = 1.0
SEND_TIMEOUT_S = 2.0
OK_STATUS = 200
PROTOBUF_HEADERS = {"content-type": "application/x-protobuf"}


class SpanQueue(SpanProcessor):
    """Queues ended spans until they are sent; drops spans when it is full."""

    def __init__(self, metrics: Metrics, limit: int = MAX_QUEUED_SPANS) -> None:
        self._metrics = metrics
        self._limit = limit
        self._spans: deque[ReadableSpan] = deque()
        self.dropped = 0

    def on_end(self, span: ReadableSpan) -> None:
        """Queue a span if it is sampled."""
        if not span.context or not span.context.trace_flags.sampled:
            return
        if len(self._spans) >= self._limit:
            self.count_dropped(1)
            return
        self._spans.append(span)

    def pop_batch(self, max_spans: int) -> list[ReadableSpan]:
        """Remove and return up to ``max_spans`` spans, the oldest first."""
        count = min(max_spans, len(self._spans))
        return [self._spans.popleft() for _ in range(count)]

    def count_dropped(self, count: int) -> None:
        """Count spans that can't be sent."""
        self.dropped += count
        self._metrics.count("trace.dropped", count)


@attrs.define
class SpanSender:
    """Posts queued spans to a collector; drops the spans of a failed post."""

    queue: SpanQueue
    url: str
    session: aiohttp.ClientSession
    clock: Clock

    async def run(self) -> None:
        """Send the queued spans each ``SEND_INTERVAL_S`` until cancelled."""
        while True:
            await self.clock.sleep_until(self.clock.now_s() + SEND_INTERVAL_S)
            await self.flush()

    async def flush(self) -> None:
        """Send the queued spans in batches; drop a failed batch and stop."""
        while spans := self.queue.pop_batch(MAX_BATCH_SPANS):
            if not await self._post(spans):
                self.queue.count_dropped(len(spans))
                return

    async def _post(self, spans: list[ReadableSpan]) -> bool:
        body = encode_spans(spans).SerializeToString()
        timeout = aiohttp.ClientTimeout(total=SEND_TIMEOUT_S)
        try:
            async with self.session.post(
                self.url, data=body, headers=PROTOBUF_HEADERS, timeout=timeout
            ) as response:
                return response.status == OK_STATUS
        except (aiohttp.ClientError, TimeoutError):
            return False


def make_tracer(
    host: HostSettings, telemetry: TelemetrySettings, queue: SpanQueue
) -> Tracer:
    """Return a tracer that puts the ended spans of a host into the queue."""
    provider = TracerProvider(
        sampler=ParentBased(TraceIdRatioBased(min(1.0, telemetry.trace_share))),
        resource=Resource(  # unlike Resource.create(), starts no threads
            {
                "service.name": "aspenbridge",
                "service.instance.id": host.name,
                "cloud.region": host.region,
                "cloud.availability_zone": host.failure_domain,
            }
        ),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(queue)
    return provider.get_tracer("aspenbridge")
