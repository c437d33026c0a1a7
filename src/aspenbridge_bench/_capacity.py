"""
Predicts load and cost at the size expected in two years.

The predictions extend the lines that the ``slopes`` and ``relay`` commands
measured. The constants below are the expected size and the settings that
the predictions assume.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

HOSTS = 420
ENGINES = 2_600
CUSTOMERS = 9_600
MODELS = 7
REGIONS = 4
FAILURE_DOMAINS = 11
REQUESTS_PER_S = 19_000
TOKENS_PER_S = 6_400_000
ITEMS_PER_S = 45_000_000 / 86_400
JOBS = 1_800
LARGEST_JOB_ITEMS = 260_000
CHANGES_PER_S = 2_400 / 86_400
OBJECTS = ENGINES + CUSTOMERS
GROUP_ENGINES = 16
CHUNK_ITEMS = 500
TOKEN_INTERVAL_S = 0.045
JOB_ROW_BYTES = 255
FLUSH_INTERVAL_S = 5.0
ACTIVE_JOBS_POLL_S = 10.5
LOST_HOSTS = 38  # the hosts of one failure domain
CONCURRENT_CHUNKS = 16
WRITES_PER_S = 500
READS_PER_S = 2_000
# The limits of what each host may use for control work.
CONTROL_CPU_SHARE = 0.019
CONTROL_BYTES_PER_S = 3_000
CONTROL_STATE_BYTES = 32_000_000


@attrs.frozen
class Line:
    """
    A measured line of a report: ``intercept + slope * size``.

    :ivar last: the value at the largest measured size.
    """

    intercept: float
    slope: float
    last: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


@attrs.frozen
class Figure:
    """
    One predicted value at the expected size.

    :ivar role: the part of the system that has the load or cost.
    :ivar limit: the limit that the value is compared with, if there is one.
    """

    role: str
    what: str
    value: float
    unit: str
    limit: float | None = None

    @property
    def share(self) -> float | None:
        """The value as a share of its limit."""
        return None if self.limit is None else self.value / self.limit


@attrs.frozen
class Measured:
    """
    The measurements in the reports of ``slopes`` and ``relay``.

    :ivar lines: the lines of ``slopes``, by name and unit.
    :ivar idle: what a host without work uses per second.
    :ivar grant_bytes: the size of all messages of one grant.
    :ivar relay: processor seconds per second, over tokens per second.
    :ivar stream_bytes: the resident memory per open stream.
    """

    lines: Mapping[tuple[str, str], Line]
    idle: Mapping[str, float]
    grant_bytes: int
    relay: Line
    stream_bytes: float

    def at(self, name: str, unit: str, size: float) -> float:
        """Return the value of a line at a size."""
        return self.lines[name, unit].at(size)


def read_reports(slopes: dict[str, object], relay: dict[str, object]) -> Measured:
    """Return the measurements in the two reports."""
    entries: list[dict[str, object]] = slopes["slopes"]  # type: ignore[assignment]
    lines = {(str(e["name"]), str(e["unit"])): _line(e) for e in entries}
    idle: list[dict[str, object]] = slopes["idle_hosts"]  # type: ignore[assignment]
    grant: dict[str, int] = slopes["grant_message_bytes"]  # type: ignore[assignment]
    costs: list[dict[str, float]] = relay["costs"]  # type: ignore[assignment]
    fewest, most = costs[0], costs[-1]
    stream_bytes = (most["resident_bytes"] - fewest["resident_bytes"]) / (
        most["streams"] - fewest["streams"]
    )
    largest_fleet = idle[-1]
    counts: dict[str, float] = largest_fleet["counts_per_s"]  # type: ignore[assignment]
    return Measured(
        lines=lines,
        idle={
            "cpu_share": float(str(largest_fleet["cpu_share"])),
            "bytes_per_s": float(str(largest_fleet["bytes_per_s"])),
            **counts,
        },
        grant_bytes=sum(grant.values()),
        relay=_line(relay["slope"]),
        stream_bytes=stream_bytes,
    )


def _line(entry: object) -> Line:
    fields: dict[str, object] = entry  # type: ignore[assignment]
    points: list[dict[str, float]] = fields["points"]  # type: ignore[assignment]
    intercept, slope = float(str(fields["intercept"])), float(str(fields["slope"]))
    return Line(intercept, slope, points[-1]["value"])


def figures(measured: Measured) -> list[Figure]:
    """Return the predicted values of each role."""
    return [
        *_relay(measured),
        *_owner(measured),
        *_configuration(measured),
        *_batch(measured),
        *_control(measured),
    ]


def _relay(measured: Measured) -> list[Figure]:
    tokens = TOKENS_PER_S / HOSTS
    requests = REQUESTS_PER_S / HOSTS
    streams = tokens * TOKEN_INTERVAL_S
    lookup_s = measured.lines["engines of a model found", "s"].last
    key_s = measured.at("API keys checked", "s", requests)
    return [
        Figure("relay", "requests", requests, "1/s"),
        Figure("relay", "tokens", tokens, "1/s"),
        Figure("relay", "open streams", streams, ""),
        Figure("relay", "token relay", measured.relay.at(tokens), "cores", 1.0),
        Figure("relay", "engine lookups", requests * lookup_s, "cores", 1.0),
        Figure("relay", "API keys", key_s, "cores", 1.0),
        Figure("relay", "state of streams", streams * measured.stream_bytes, "bytes"),
    ]


def _owner(measured: Measured) -> list[Figure]:
    pools = MODELS * REGIONS
    groups = pools * math.ceil(ENGINES / pools / GROUP_ENGINES)
    grants = (REQUESTS_PER_S + ITEMS_PER_S) / groups
    slot_s = measured.at("place given and released", "s", 512)
    call_s = measured.lines["grant call, both ends", "s"].slope
    grant_bytes_per_s = (
        2 * (REQUESTS_PER_S + ITEMS_PER_S) / HOSTS * measured.grant_bytes
    )
    return [
        Figure("group owner", "groups", groups, ""),
        Figure("group owner", "places of one group", grants, "1/s"),
        Figure("group owner", "one group", grants * (slot_s + call_s), "cores", 1.0),
        Figure(
            "group owner", "state", measured.at("group state", "bytes", 512), "bytes"
        ),
        Figure(
            "group owner",
            "settling a full queue once",
            measured.at("full group settled", "s", 256),
            "s",
        ),
        Figure(
            "group owner",
            "grant messages",
            grant_bytes_per_s,
            "bytes/s",
            CONTROL_BYTES_PER_S,
        ),
    ]


def _configuration(measured: Measured) -> list[Figure]:
    view_bytes = measured.at("engines in the view", "bytes", ENGINES) + measured.at(
        "customers in the view", "bytes", CUSTOMERS
    )
    row_bytes = measured.at("engines in the table", "bytes", ENGINES) + measured.at(
        "customers in the table", "bytes", CUSTOMERS
    )
    change_s = measured.lines["changes followed", "s"].at(1)
    return [
        Figure("follower", "view", view_bytes, "bytes", CONTROL_STATE_BYTES),
        Figure("follower", "rows in the table", row_bytes, "bytes"),
        Figure("follower", "changes", CHANGES_PER_S, "1/s"),
        Figure("follower", "changes followed", change_s * CHANGES_PER_S, "cores"),
        Figure(
            "follower",
            "snapshot loaded",
            measured.at("snapshot loaded", "s", OBJECTS),
            "s",
        ),
        Figure(
            "follower",
            "snapshot loaded",
            measured.at("snapshot loaded", "table reads", OBJECTS),
            "reads",
        ),
    ]


def _batch(measured: Measured) -> list[Figure]:
    chunks_per_s = ITEMS_PER_S / CHUNK_ITEMS
    table_writes = measured.lines["job run", "table writes"].slope * chunks_per_s
    object_writes = measured.lines["job run", "object writes"].slope * chunks_per_s
    flushes_per_s = HOSTS / FLUSH_INTERVAL_S
    segment_s = measured.lines["segment encoded", "s"].slope * ITEMS_PER_S / HOSTS
    return [
        Figure("chunk runner", "items", ITEMS_PER_S / HOSTS, "1/s"),
        Figure("chunk runner", "segments encoded", segment_s, "cores"),
        Figure(
            "chunk runner",
            "largest file taken in",
            measured.at("file uploaded", "s", LARGEST_JOB_ITEMS),
            "s",
        ),
        Figure(
            "chunk runner",
            "largest file taken in",
            measured.at("file parsed, peak", "bytes", LARGEST_JOB_ITEMS),
            "bytes",
        ),
        Figure(
            "chunk runner",
            "active jobs scanned once",
            measured.at("active jobs scanned", "s", JOBS),
            "s",
        ),
        Figure("table", "writes of full chunks", table_writes, "1/s", WRITES_PER_S),
        Figure("table", "writes, a flush a host", flushes_per_s, "1/s", WRITES_PER_S),
        Figure("table", "writes, a flush an item", ITEMS_PER_S, "1/s", WRITES_PER_S),
        Figure("object store", "writes of chunks", object_writes, "1/s", WRITES_PER_S),
    ]


def _control(measured: Measured) -> list[Figure]:
    idle_reads = measured.idle["table_reads"] * HOSTS
    list_bytes = JOBS * JOB_ROW_BYTES / ACTIVE_JOBS_POLL_S
    scan_s = measured.at("active jobs scanned", "s", JOBS) / ACTIVE_JOBS_POLL_S
    grants = (REQUESTS_PER_S + ITEMS_PER_S) / HOSTS
    call_s = measured.lines["grant call, both ends", "s"].slope
    grant_s = 2 * call_s + measured.at("place given and released", "s", 512)
    scan_reads = measured.at("active jobs scanned", "table reads", JOBS)
    coding_writes = 2 * REQUESTS_PER_S
    return [
        Figure(
            "node",
            "idle loops",
            measured.idle["cpu_share"],
            "cores",
            CONTROL_CPU_SHARE,
        ),
        Figure("node", "grants", grants * grant_s, "cores", CONTROL_CPU_SHARE),
        Figure(
            "node",
            "probes, both ways",
            measured.idle["bytes_per_s"],
            "bytes/s",
            CONTROL_BYTES_PER_S,
        ),
        Figure(
            "node",
            "member state",
            measured.at("member state", "bytes", HOSTS),
            "bytes",
            CONTROL_STATE_BYTES,
        ),
        Figure("node", "list of jobs read", scan_s, "cores", CONTROL_CPU_SHARE),
        Figure("node", "list of jobs read", list_bytes, "bytes/s", CONTROL_BYTES_PER_S),
        Figure("table", "reads of idle hosts", idle_reads, "1/s", READS_PER_S),
        Figure(
            "table",
            "reads of the list of jobs",
            HOSTS / ACTIVE_JOBS_POLL_S * scan_reads,
            "1/s",
            READS_PER_S,
        ),
        Figure(
            "table",
            "writes to take over a failure domain, 16 chunks a host",
            LOST_HOSTS * (2 + CONCURRENT_CHUNKS),
            "writes",
        ),
        Figure(
            "table",
            "writes if each request were a coding request",
            coding_writes,
            "1/s",
            WRITES_PER_S,
        ),
    ]
