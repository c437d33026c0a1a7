"""W3C trace context of the running request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

if TYPE_CHECKING:
    from opentelemetry.context import Context

TRACEPARENT = "traceparent"
_propagator = TraceContextTextMapPropagator()


def parent_context(traceparent: str | None) -> Context | None:
    """
    Return the context that a caller's header stands for.

    :param traceparent: the header; a malformed one counts as absent.
    """
    if not traceparent:
        return None
    return _propagator.extract({TRACEPARENT: traceparent})


def current_traceparent() -> str | None:
    """Return the header for the next hop, or None outside of a trace."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier)
    return carrier.get(TRACEPARENT)
