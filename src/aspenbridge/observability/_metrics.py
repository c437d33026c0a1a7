"""Counters and latency histograms of an entry host, served as text."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

REGISTRY = CollectorRegistry()
# From a network hop within a failure domain to the longest caller deadline.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0)

REQUESTS = Counter(
    "requests", "Online requests by outcome.", ["outcome"], registry=REGISTRY
)
ATTEMPT_FAILURES = Counter(
    "attempt_failures",
    "Attempts at engines that gave no complete answer.",
    ["outcome"],
    registry=REGISTRY,
)
FIRST_EVENT_S = Histogram(
    "first_event_seconds",
    "Time from the arrival of a request to its first event.",
    registry=REGISTRY,
    buckets=LATENCY_BUCKETS_S,
)
REQUEST_S = Histogram(
    "request_seconds",
    "Time from the arrival of a request to its end.",
    registry=REGISTRY,
    buckets=LATENCY_BUCKETS_S,
)
ITEM_RUNS = Counter(
    "item_runs", "Runs of batch items by outcome.", ["outcome"], registry=REGISTRY
)
ITEM_YIELDS = Counter(
    "item_yields", "Batch items preempted by other requests.", registry=REGISTRY
)
JOBS = Counter(
    "jobs", "Batch jobs by what this host did with them.", ["event"], registry=REGISTRY
)
ADMISSIONS = Counter(
    "admissions",
    "Decisions on batch jobs on routes with a limit of waiting tokens.",
    ["decision"],
    registry=REGISTRY,
)
WAITING_TOKENS = Gauge(
    "waiting_tokens",
    "Tokens that wait on a route in the whole fleet, at the last decision here.",
    ["route"],
    registry=REGISTRY,
)
WAITING_TOKENS_LIMIT = Gauge(
    "waiting_tokens_limit",
    "The most tokens that may wait on a route, at the last decision here.",
    ["route"],
    registry=REGISTRY,
)
QUARANTINE = Counter(
    "quarantine",
    "Requests under which engines crashed, by what became of them or the engine.",
    ["event"],
    registry=REGISTRY,
)
PARTS_HELD = Gauge(
    "quarantined_parts",
    "Parts of prompts that are held back because engines crashed under them.",
    registry=REGISTRY,
)
STORE_CALL_S = Histogram(
    "store_call_seconds",
    "Duration of calls to the store, except for requests for changes.",
    ["call", "outcome"],
    registry=REGISTRY,
    buckets=LATENCY_BUCKETS_S,
)
LOOP_LATENESS_S = Histogram(
    "loop_lateness_seconds",
    "How late the event loop wakes a task.",
    registry=REGISTRY,
    buckets=LATENCY_BUCKETS_S,
)
LINES_DROPPED = Counter(
    "log_lines_dropped",
    "Log lines dropped because of the rate limit or a full pipe.",
    registry=REGISTRY,
)


def metrics_text() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
