"""Follows the settings file, with a signal or without one."""

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
CHECK_INTERVAL_S = 1.0  # a third of the time in which a change has to apply
APPLIED = frozenset({"store"})  # other changes need a new process


class SettingsWatch:
    """Reads the settings again when they change and applies what can be."""

    def __init__(
        self,
        path: Path,
        settings: EntrySettings,
        signalled: asyncio.Event,
        apply: Callable[[EntrySettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._signalled = signalled
        self._apply = apply
        self._stamp = self._read_stamp()

    async def run(self) -> None:
        """Look at the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._signalled.wait()
            except TimeoutError:
                if self._read_stamp() == self._stamp:
                    continue
            self._signalled.clear()
            self._stamp = self._read_stamp()
            self.reload()

    def reload(self) -> None:
        """Apply the file as it is; keep the old settings when it is faulty."""
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
        if changed - APPLIED:
            logger.warning("not applied until a restart: %s", sorted(changed - APPLIED))
        self._settings = settings
        self._apply(settings)

    def _read_stamp(self) -> tuple[int, int]:
        """Return what tells one content of the file from the next."""
        try:
            found = self._path.stat()
        except OSError as error:
            logger.debug("settings file can't be looked at: %s", error)
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
