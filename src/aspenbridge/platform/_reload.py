"""Reloads the settings file on a signal, or when the file changes."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import attrs

from ._settings import SettingsError, load_entry_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from aspenbridge.entry import EntrySettings

logger = logging.getLogger(__name__)
# A third of the time within which a change must take effect.
POLL_INTERVAL_S = 1.0
FileVersion = tuple[int, int]  # modification time in nanoseconds, size in bytes
RELOADABLE_FIELDS = frozenset({"store"})  # other fields need a restart


class SettingsWatcher:
    """
    Reloads changed settings and applies those that need no restart.

    :param file_version: that of the file from which ``settings`` were read.
    """

    def __init__(
        self,
        path: Path,
        file_version: FileVersion,
        settings: EntrySettings,
        reload_requested: asyncio.Event,
        apply: Callable[[EntrySettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._reload_requested = reload_requested
        self._apply = apply
        self._file_version = file_version

    async def run(self) -> None:
        """Check the file for changes until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._reload_requested.wait()
            except TimeoutError:
                if read_file_version(self._path) == self._file_version:
                    continue
            self._reload_requested.clear()
            self._file_version = read_file_version(self._path)
            self.reload()

    def reload(self) -> None:
        """Read and apply the file; keep the old settings if it is invalid."""
        try:
            settings = load_entry_settings(self._path)
        except SettingsError as error:
            logger.error("settings are kept: %s", error)
            return
        changed = {
            field.name
            for field in attrs.fields(type(settings))
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        }
        logger.info("settings reloaded, changed: %s", sorted(changed) or "nothing")
        if changed - RELOADABLE_FIELDS:
            logger.warning(
                "not applied until a restart: %s", sorted(changed - RELOADABLE_FIELDS)
            )
        self._settings = settings
        self._apply(settings)


def read_file_version(path: Path) -> FileVersion:
    """
    Return a file's modification time and size, to detect changes.

    :return: zeros when the file can't be examined.
    """
    try:
        file_status = path.stat()
    except OSError as error:
        logger.debug("settings file can't be examined: %s", error)
        return (0, 0)
    return (file_status.st_mtime_ns, file_status.st_size)
