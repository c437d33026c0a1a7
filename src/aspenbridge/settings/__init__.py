"""
Settings of a host.

The loader, the check of a settings file and the reference page are all
derived from one definition of the sections and their keys.
"""

from __future__ import annotations

from ._definitions import (
    BatchSettings,
    ConfigurationSettings,
    HostSettings,
    LimitSettings,
    ListenSettings,
    MembershipSettings,
    PlatformSettings,
    SchedulingSettings,
    Settings,
    TelemetrySettings,
)
from ._loader import SettingsError, load_settings, parse_settings
from ._reference import reference_page

__all__ = [
    "BatchSettings",
    "ConfigurationSettings",
    "HostSettings",
    "LimitSettings",
    "ListenSettings",
    "MembershipSettings",
    "PlatformSettings",
    "SchedulingSettings",
    "Settings",
    "SettingsError",
    "TelemetrySettings",
    "load_settings",
    "parse_settings",
    "reference_page",
]
