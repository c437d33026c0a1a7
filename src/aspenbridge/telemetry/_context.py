"""Reads and writes the W3C trace context of the running request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

if TYPE_CHECKING:
    from opentelemetry.context import Context

TRACEPARENT = "traceparent"
_propagator = TraceContextTextMapPropagator()


def parent_context(traceparent: str | None) -> Context | None:
    """
    Return the trace context given by a caller's ``traceparent`` header.

    :param traceparent: the header's value; a malformed one is ignored.
    """
    if not traceparent:
        return None
    return _propagator.extract({TRACEPARENT: traceparent})


def current_traceparent() -> str | None:
    """Return the ``traceparent`` header to send, or None outside a trace."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier)
    return carrier.get(TRACEPARENT)
