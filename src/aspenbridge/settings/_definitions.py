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
    """Who this host is."""

    name: str = option("host", "Name of the host, unique in the fleet.")
    region: str = option("local", "Region of the host.")
    failure_domain: str = option("local-a", "Failure domain of the host.")


@attrs.frozen
class ListenSettings:
    """Where callers and other hosts reach this host."""

    ip: str = option("127.0.0.1", "IP number to listen on.")
    http_port: int = option(8080, "Port for callers and operators.")
    peer_port: int = option(8081, "Port for other hosts.")
    max_body_bytes: int = option(1_000_000, "Largest request body.")
    max_file_bytes: int = option(200_000_000, "Largest uploaded batch file.")
    max_item_bytes: int = option(100_000, "Largest line of a batch file.")
    max_header_bytes: int = option(16_384, "Largest request header.")
    read_timeout_s: float = option(20.0, "Time a caller has to send a request.")


@attrs.frozen
class PlatformSettings:
    """Where the platform's services are."""

    table: str = option("127.0.0.1:9001", "Address of the table service.")
    objects: str = option("127.0.0.1:9002", "Address of the object store.")
    host_list: str = option("127.0.0.1:9003", "Address of the host list.")
    weights: str = option("127.0.0.1:9004", "Address of the weight store.")
    call_timeout_s: float = option(2.0, "Time one platform call may take.")


@attrs.frozen
class MembershipSettings:
    """How hosts watch each other."""

    probe_interval_s: float = option(1.0, "Time between two probes of a host.")
    probe_timeout_s: float = option(0.4, "Time a peer has to answer a probe.")
    suspect_after_s: float = option(4.0, "Silence after which a peer is fenced.")
    host_list_interval_s: float = option(5.0, "Time between reads of the host list.")


@attrs.frozen
class ConfigurationSettings:
    """How configuration changes reach this host."""

    poll_interval_s: float = option(5.0, "Time between reads of the head revision.")
    fresh_limit_s: float = option(12.0, "Age at which a revision counts as unknown.")
    when_unknown: str = option(
        "refuse",
        "What to do with new work while the revision is unknown.",
        choices=("refuse", "serve"),
    )
    bootstrap_operator: str = option(
        "",
        "First operator, as name:salt:digest; valid while no operator is configured.",
        pattern=r"|[\w-]+:([0-9a-f]{2}){1,16}:[0-9a-f]{128}",
    )


@attrs.frozen
class SchedulingSettings:
    """Who may put how much on an engine."""

    policy: str = option(
        "owner",
        "Who admits work to an engine.",
        choices=("owner", "round_robin", "least_reported"),
    )
    isolation: bool = option(True, "Keep online work apart from batch work.")
    fairness: bool = option(True, "Share engines between customers by tokens.")
    affinity: bool = option(True, "Prefer engines that hold the prompt's prefix.")
    online_headroom: float = option(
        0.1, "Part of an engine kept free of batch for the next online requests."
    )


@attrs.frozen
class BatchSettings:
    """How batch jobs are cut and run."""

    chunk_items: int = option(500, "Items in one chunk of a job.")
    item_attempts: int = option(3, "Attempts before an item counts as failed.")
    flush_interval_s: float = option(5.0, "Longest time a result waits to be durable.")
    flush_bytes: int = option(1_000_000, "Results that are made durable at once.")
    concurrency: int = option(64, "Items that one host runs at once.")


@attrs.frozen
class LimitSettings:
    """Limits, retries and overload."""

    online_deadline_s: float = option(30.0, "Deadline of a request that names none.")
    retry_budget: float = option(0.1, "Retries allowed per request, on average.")
    queue_limit: int = option(256, "Online requests that may wait for one group.")
    shutdown_notice_s: float = option(
        3.0, "Time between not ready and refusing new work at a shutdown."
    )
    shutdown_limit_s: float = option(60.0, "Time that running streams have to end.")


@attrs.frozen
class TelemetrySettings:
    """Metrics, traces and logs."""

    statsd: str = option("", "Address of statsd; empty for none.")
    trace_endpoint: str = option("", "OTLP address of the collector; empty for none.")
    trace_share: float = option(1.0, "Part of the traces that are recorded.")
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
