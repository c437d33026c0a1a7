"""Sets up the telemetry of a host as its settings say."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from opentelemetry.trace import NoOpTracer, Tracer

from aspenbridge.ports import Metrics, NoMetrics

from ._ports import (
    CallRecorder,
    MeasuredEngines,
    MeasuredObjects,
    MeasuredPeers,
    MeasuredServices,
    MeasuredTable,
)
from ._statsd import StatsdMetrics

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

    import aiohttp

    from aspenbridge.host import Ports
    from aspenbridge.ports import Clock
    from aspenbridge.settings import Settings

    from ._tracing import SpanSender


@attrs.frozen
class Telemetry:
    """Metrics, tracer and, if spans are exported, their sender."""

    metrics: Metrics
    tracer: Tracer
    sender: SpanSender | None = None

    def instrument(self, ports: Ports) -> Ports:
        """Return ports that record each call; unchanged without telemetry."""
        if isinstance(self.metrics, NoMetrics) and self.sender is None:
            return ports
        recorder = CallRecorder(self.tracer, self.metrics)
        return attrs.evolve(
            ports,
            table=MeasuredTable(ports.table, recorder),
            objects=MeasuredObjects(ports.objects, recorder),
            peers=MeasuredPeers(ports.peers, recorder),
            engines=MeasuredEngines(ports.engines, recorder),
            services=MeasuredServices(ports.services, recorder),
            metrics=self.metrics,
            tracer=self.tracer,
        )


def open_telemetry(
    stack: AsyncExitStack,
    settings: Settings,
    session: aiohttp.ClientSession,
    clock: Clock,
) -> Telemetry:
    """
    Open the metrics client and the span sender that the settings ask for.

    :param stack: closes the socket of the metrics client.
    :param session: used to post spans.
    """
    telemetry = settings.telemetry
    metrics: Metrics = NoMetrics()
    if telemetry.statsd:
        metrics = stack.enter_context(StatsdMetrics(telemetry.statsd))
    if not telemetry.trace_endpoint:
        return Telemetry(metrics, NoOpTracer())
    from ._tracing import SpanQueue, SpanSender, make_tracer

    queue = SpanQueue(metrics)
    url = f"http://{telemetry.trace_endpoint}/v1/traces"
    sender = SpanSender(queue, url, session, clock)
    return Telemetry(metrics, make_tracer(settings.host, telemetry, queue), sender)


__all__ = ["Telemetry", "open_telemetry"]
