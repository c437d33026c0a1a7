"""Counters and latency histograms of an entry host, served as text."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

REGISTRY = CollectorRegistry()
# From a hop within a failure domain to the longest deadline of a caller.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0)

REQUESTS = Counter(
    "requests", "Online requests by what came of them.", ["outcome"], registry=REGISTRY
)
ATTEMPT_FAILURES = Counter(
    "attempt_failures",
    "Sends to engines that gave no whole answer.",
    ["outcome"],
    registry=REGISTRY,
)
FIRST_EVENT_S = Histogram(
    "first_event_seconds",
    "From the request's arrival to its first event.",
    registry=REGISTRY,
    buckets=LATENCY_BUCKETS_S,
)
REQUEST_S = Histogram(
    "request_seconds",
    "From the request's arrival to its end.",
    registry=REGISTRY,
    buckets=LATENCY_BUCKETS_S,
)
ITEM_RUNS = Counter(
    "item_runs", "Runs of batch items by their end.", ["outcome"], registry=REGISTRY
)
ITEM_YIELDS = Counter(
    "item_yields", "Batch items that left an engine for others.", registry=REGISTRY
)
JOBS = Counter(
    "jobs", "What this host did with batch jobs.", ["event"], registry=REGISTRY
)
STORE_CALL_S = Histogram(
    "store_call_seconds",
    "Calls to the store, without the waits of a feed.",
    ["call", "outcome"],
    registry=REGISTRY,
    buckets=LATENCY_BUCKETS_S,
)
LINES_DROPPED = Counter(
    "log_lines_dropped", "Log lines over the rate or the pipe.", registry=REGISTRY
)


def metrics_text() -> bytes:
    """Return all metrics in the text format of Prometheus."""
    return generate_latest(REGISTRY)
