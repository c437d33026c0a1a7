"""Defines the sections of a settings file with their keys and defaults."""

from __future__ import annotations

from typing import Any

import attrs


def option(
    default: Any,
    description: str,
    *,
    choices: tuple[str, ...] = (),
    pattern: str = "",
) -> Any:
    """
    Define one key of a section.

    :param default: the value if the file does not set the key; its type is
        the type of the key.
    :param description: one sentence for the reference page.
    :param choices: the allowed values; empty if every value is allowed.
    :param pattern: a regular expression that the whole text has to match;
        empty if every text is allowed.
    """
    return attrs.field(
        default=default,
        metadata={"description": description, "choices": choices, "pattern": pattern},
    )


@attrs.frozen
class HostSettings:
    """Name and location of this host."""

    name: str = option("host", "Name of the host, unique in the fleet.")
    region: str = option("local", "Region of the host.")
    failure_domain: str = option("local-a", "Failure domain of the host.")


@attrs.frozen
class ListenSettings:
    """Addresses that this host listens on, and limits of requests."""

    ip: str = option("127.0.0.1", "IP address to listen on.")
    http_port: int = option(8080, "Port for callers and operators.")
    peer_port: int = option(8081, "Port for other hosts.")
    max_body_bytes: int = option(1_000_000, "Largest request body, files excepted.")
    max_file_bytes: int = option(200_000_000, "Largest uploaded batch file.")
    max_item_bytes: int = option(100_000, "Largest line of a batch file.")
    max_header_bytes: int = option(16_384, "Largest request header.")
    held_bytes: int = option(
        0,
        "Bytes of request bodies that are held at one time; 0 for three times "
        "max_file_bytes or max_body_bytes, whichever is more.",
    )
    max_connections: int = option(
        0,
        "Connections that callers may have; 0 for a third of the descriptors that "
        "the process may use.",
    )
    read_timeout_s: float = option(
        20.0,
        "Time a caller has to send a request; for a large file, to send each "
        "max_body_bytes of it.",
    )


@attrs.frozen
class PlatformSettings:
    """Addresses of the platform's services."""

    table: str = option("127.0.0.1:9001", "Address of the table service.")
    objects: str = option("127.0.0.1:9002", "Address of the object store.")
    host_list: str = option("127.0.0.1:9003", "Address of the host list.")
    weights: str = option("127.0.0.1:9004", "Address of the weight store.")
    call_timeout_s: float = option(2.0, "Time one platform call may take.")


@attrs.frozen
class MembershipSettings:
    """How hosts detect failed peers."""

    probe_interval_s: float = option(1.0, "Time between two rounds of probes.")
    probe_timeout_s: float = option(0.4, "Time a peer has to answer a probe.")
    suspect_after_s: float = option(
        4.0,
        "Time without an answer to probes after which a peer counts as failed and "
        "is fenced.",
    )
    host_list_interval_s: float = option(5.0, "Time between reads of the host list.")


@attrs.frozen
class ConfigurationSettings:
    """How configuration changes reach this host."""

    poll_interval_s: float = option(5.0, "Time between reads of the newest revision.")
    fresh_limit_s: float = option(
        12.0,
        "Time since the last read of the newest revision after which the host may "
        "act on its revision only while it reaches most hosts and none of them has "
        "reported a newer one.",
    )
    when_unknown: str = option(
        "refuse",
        "What to do with new work while a newer revision may be in force.",
        choices=("refuse", "serve"),
    )
    bootstrap_operator: str = option(
        "",
        "First operator, as name:salt:digest; valid while no operator is configured.",
        pattern=r"|[\w-]+:([0-9a-f]{2}){1,16}:[0-9a-f]{128}",
    )


@attrs.frozen
class SchedulingSettings:
    """How requests are assigned to engines."""

    policy: str = option(
        "owner",
        "How engines are chosen: by the one host that owns an engine group, or by "
        "each host alone, either in turn or by the lowest reported load.",
        choices=("owner", "round_robin", "least_reported"),
    )
    isolation: bool = option(
        True, "Put online requests before batch requests and let them preempt these."
    )
    fairness: bool = option(
        True, "Share engines between customers by weight and tokens."
    )
    affinity: bool = option(
        True, "Prefer engines that have cached the prompt's prefix."
    )
    online_headroom: float = option(
        0.1,
        "Fraction of the slots not used by online requests that batch requests "
        "leave free on each engine.",
    )


@attrs.frozen
class BatchSettings:
    """How batch jobs are split into chunks and run."""

    chunk_items: int = option(500, "Items in one chunk of a job.")
    item_attempts: int = option(3, "Attempts before an item counts as failed.")
    flush_interval_s: float = option(
        5.0, "Longest time before a result is stored durably."
    )
    flush_bytes: int = option(
        1_000_000, "Size of collected results that are stored without waiting longer."
    )
    concurrency: int = option(64, "Items that one host runs concurrently.")


@attrs.frozen
class LimitSettings:
    """Deadlines, retries, queue length and shutdown."""

    online_deadline_s: float = option(
        30.0, "Time from the arrival of an online request to its deadline."
    )
    retry_budget: float = option(0.1, "Retries allowed per request, on average.")
    queue_limit: int = option(
        256, "Online requests that may wait for one group of engines."
    )
    shutdown_notice_s: float = option(
        3.0, "At shutdown, time between reporting not ready and refusing new work."
    )
    shutdown_limit_s: float = option(
        60.0, "At shutdown, time that running requests have to finish."
    )


@attrs.frozen
class TelemetrySettings:
    """Metrics, traces and logs."""

    statsd: str = option("", "Address of statsd; empty to send no metrics.")
    trace_endpoint: str = option(
        "", "Address of the OTLP collector; empty to send no traces."
    )
    trace_share: float = option(
        1.0, "Fraction of the traces that are recorded, 0 to 1."
    )
    log_level: str = option(
        "info", "Lowest level logged.", choices=("debug", "info", "warning", "error")
    )


@attrs.frozen
class Settings:
    """All settings of one host."""

    host: HostSettings = HostSettings()
    listen: ListenSettings = ListenSettings()
    platform: PlatformSettings = PlatformSettings()
    membership: MembershipSettings = MembershipSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    scheduling: SchedulingSettings = SchedulingSettings()
    batch: BatchSettings = BatchSettings()
    limits: LimitSettings = LimitSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
