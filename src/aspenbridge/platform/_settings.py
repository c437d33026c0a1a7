"""Decodes the platform's settings file into the settings of an entry host."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

from aspenbridge.entry import (
    Address,
    EntrySettings,
    MachineLimits,
    StoreLimits,
    TimeBounds,
)

from ._decode import FORM_ERRORS
from ._names import SETTINGS_VARIABLE

MEGABYTE = 1_000_000


class SettingsError(ValueError):
    """The settings can't be read, lack a key or hold an invalid value."""


def settings_path() -> Path:
    """
    Return the path of the settings file.

    :raises SettingsError: when the environment variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"environment variable {SETTINGS_VARIABLE} is not set")
    return Path(path)


def load_entry_settings(path: Path) -> EntrySettings:
    """
    Read the settings from a TOML file.

    :raises SettingsError: with the path, and the missing key or wrong value.
    """
    try:
        fields = tomllib.loads(path.read_text(encoding="utf-8"))
        return _decode_settings(fields)
    except KeyError as error:
        raise SettingsError(f"{path}: key {error} is missing") from error
    except (OSError, *FORM_ERRORS) as error:
        raise SettingsError(f"{path}: {error}") from error


def _decode_settings(fields: dict[str, Any]) -> EntrySettings:
    listen, store = fields["listen"], fields["platform"]
    first_port, last_port = fields["portRange"]
    return EntrySettings(
        host=fields["nodeName"],
        failure_domain=fields["zone"],
        region=fields["region"],
        regions=dict(fields["zones"]),  # maps failure domains to regions
        ip=fields["ip"],
        callers=Address.parse(listen["frontend"]),
        readiness=Address.parse(listen["ready"]),
        peer_ports=range(int(first_port), int(last_port) + 1),
        store=Address.parse(store["addr"]),
        store_limits=StoreLimits(
            row_bytes=int(store["rowBytes"]),
            object_bytes=int(store["blobBytes"]),
        ),
        bounds=_decode_bounds(fields["bounds"]),
        engine_heartbeat_s=float(fields["heartbeatMs"]) / 1000,
        machine=_decode_machine(fields.get("limits", {}), fields.get("callers", {})),
    )


def _decode_machine(limits: dict[str, Any], callers: dict[str, Any]) -> MachineLimits:
    """
    Decode the limits of the machine, each of which may be missing.

    :param callers: a section of this project, which the platform does not set.
    """
    sizes = {
        "memory_bytes": limits.get("memoryMb"),
        "caller_bytes": callers.get("memoryMb"),
    }
    counts = {
        "max_descriptors": limits.get("maxFds"),
        "caller_connections": callers.get("maxConnections"),
    }
    values = {name: int(float(size) * MEGABYTE) for name, size in sizes.items() if size}
    values |= {name: int(count) for name, count in counts.items() if count}
    return MachineLimits(**values)


def _decode_bounds(bounds: dict[str, Any]) -> TimeBounds:
    return TimeBounds(
        shutdown_s=float(bounds["graceS"]),
        results_kept_s=float(bounds["statusS"]),
    )
