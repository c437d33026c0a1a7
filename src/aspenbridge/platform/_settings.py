"""The platform's settings file, decoded into the settings of an entry host."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

from aspenbridge.entry import Address, EntrySettings, StoreLimits, TimeBounds

from ._names import SETTINGS_VARIABLE


class SettingsError(ValueError):
    """The settings file lacks a key or holds a wrong value."""


def settings_path() -> Path:
    """
    Return the path of the settings file.

    :raises SettingsError: when the environment does not name one.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"environment variable {SETTINGS_VARIABLE} is not set")
    return Path(path)


def load_entry_settings(path: Path) -> EntrySettings:
    """
    Return the settings in a file.

    :raises SettingsError: naming the key that is missing or wrong.
    """
    try:
        fields = tomllib.loads(path.read_text(encoding="utf-8"))
        return _decode(fields)
    except KeyError as error:
        raise SettingsError(f"{path}: key {error} is missing") from error
    except (OSError, ValueError, TypeError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _decode(fields: dict[str, Any]) -> EntrySettings:
    listen, store = fields["listen"], fields["platform"]
    first_port, last_port = fields["portRange"]
    return EntrySettings(
        host=fields["nodeName"],
        failure_domain=fields["zone"],
        region=fields["region"],
        regions=dict(fields["zones"]),  # failure domain to region
        ip=fields["ip"],
        callers=Address.parse(listen["frontend"]),
        readiness=Address.parse(listen["ready"]),
        peer_ports=range(int(first_port), int(last_port) + 1),
        store=Address.parse(store["addr"]),
        store_limits=StoreLimits(
            row_bytes=int(store["rowBytes"]),
            object_bytes=int(store["blobBytes"]),
        ),
        bounds=_bounds(fields["bounds"]),
    )


def _bounds(bounds: dict[str, Any]) -> TimeBounds:
    return TimeBounds(
        shutdown_s=float(bounds["graceS"]),
        results_kept_s=float(bounds["statusS"]),
    )
