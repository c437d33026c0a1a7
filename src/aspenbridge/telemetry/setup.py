"""Puts the telemetry that the settings name around a host's ports."""

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
    """What a host reports with."""

    metrics: Metrics
    tracer: Tracer
    sender: SpanSender | None = None

    def instrument(self, ports: Ports) -> Ports:
        """Return ports that report each hop; unchanged without telemetry."""
        if isinstance(self.metrics, NoMetrics) and self.sender is None:
            return ports
        hops = CallRecorder(self.tracer, self.metrics)
        return attrs.evolve(
            ports,
            table=MeasuredTable(ports.table, hops),
            objects=MeasuredObjects(ports.objects, hops),
            peers=MeasuredPeers(ports.peers, hops),
            engines=MeasuredEngines(ports.engines, hops),
            services=MeasuredServices(ports.services, hops),
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
    Open what the settings name.

    :param stack: owns the sockets that are opened.
    """
    chosen = settings.telemetry
    metrics: Metrics = NoMetrics()
    if chosen.statsd:
        metrics = stack.enter_context(StatsdMetrics(chosen.statsd))
    if not chosen.trace_endpoint:
        return Telemetry(metrics, NoOpTracer())
    from ._tracing import SpanQueue, SpanSender, make_tracer

    queue = SpanQueue(metrics)
    url = f"http://{chosen.trace_endpoint}/v1/traces"
    sender = SpanSender(queue, url, session, clock)
    return Telemetry(metrics, make_tracer(settings.host, chosen, queue), sender)


__all__ = ["Telemetry", "open_telemetry"]
