"""Spans of the OpenTelemetry SDK, sent on the host's own loop."""

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

QUEUE_SPANS = 4096
BATCH_SPANS = 512
SEND_INTERVAL_S = 1.0
SEND_LIMIT_S = 2.0
ACCEPTED = 200
PROTOBUF = {"content-type": "application/x-protobuf"}


class SpanQueue(SpanProcessor):
    """Keeps ended spans until they are sent; drops those beyond a bound."""

    def __init__(self, metrics: Metrics, limit: int = QUEUE_SPANS) -> None:
        self._metrics = metrics
        self._limit = limit
        self._spans: deque[ReadableSpan] = deque()
        self.dropped = 0

    def on_end(self, span: ReadableSpan) -> None:
        """Take in one span."""
        if not span.context or not span.context.trace_flags.sampled:
            return
        if len(self._spans) >= self._limit:
            self.drop(1)
            return
        self._spans.append(span)

    def take(self, most: int) -> list[ReadableSpan]:
        """Remove and return the oldest spans."""
        count = min(most, len(self._spans))
        return [self._spans.popleft() for _ in range(count)]

    def drop(self, count: int) -> None:
        """Count spans that are lost."""
        self.dropped += count
        self._metrics.count("trace.dropped", count)


@attrs.define
class SpanSender:
    """Posts spans to a collector; an unreachable one costs only the spans."""

    queue: SpanQueue
    url: str
    session: aiohttp.ClientSession
    clock: Clock

    async def run(self) -> None:
        """Send spans at a steady interval until cancelled."""
        while True:
            await self.clock.sleep_until(self.clock.now_s() + SEND_INTERVAL_S)
            await self.flush()

    async def flush(self) -> None:
        """Send what is queued, until a batch fails."""
        while spans := self.queue.take(BATCH_SPANS):
            if not await self._send(spans):
                self.queue.drop(len(spans))
                return

    async def _send(self, spans: list[ReadableSpan]) -> bool:
        body = encode_spans(spans).SerializeToString()
        timeout = aiohttp.ClientTimeout(total=SEND_LIMIT_S)
        try:
            async with self.session.post(
                self.url, data=body, headers=PROTOBUF, timeout=timeout
            ) as response:
                return response.status == ACCEPTED
        except (aiohttp.ClientError, TimeoutError):
            return False


def make_tracer(
    host: HostSettings, telemetry: TelemetrySettings, queue: SpanQueue
) -> Tracer:
    """Return a tracer whose spans go to the queue."""
    provider = TracerProvider(
        sampler=ParentBased(TraceIdRatioBased(min(1.0, telemetry.trace_share))),
        resource=Resource(  # its create() starts threads
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
