"""This host's copies of the configuration and of the engine list."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aspenbridge.observability import log_decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from aspenbridge.fleet import Configuration, EngineDirectory, EngineEntry
    from aspenbridge.ports import Row, RowChange

logger = logging.getLogger(__name__)


class ConfigurationCopy:
    """The newest configuration that was read; its version never decreases."""

    def __init__(self, key: str, decode: Callable[[bytes], Configuration]) -> None:
        self._key = key
        self._decode = decode
        self.current: Configuration | None = None
        self.on_change: Callable[[], None] = lambda: None

    @property
    def version(self) -> int:
        """The version of the current configuration; 0 if there is none."""
        return 0 if self.current is None else self.current.version

    def replace(self, rows: tuple[Row, ...]) -> None:
        """Apply the configuration, if it is among all rows of the table."""
        for row in rows:
            if row.key.key == self._key:
                self._apply(row.value)

    def apply_change(self, change: RowChange) -> None:
        """Apply a change of the table, if it is one of the configuration."""
        if change.key.key == self._key and change.value is not None:
            self._apply(change.value)

    def _apply(self, value: bytes) -> None:
        try:
            configuration = self._decode(value)
        except ValueError as error:
            logger.error("configuration is not applied: %s", error)
            return
        if self.current is not None and configuration.version <= self.current.version:
            return
        log_decision(
            "configuration applied",
            configuration=configuration.version,
            before=self.current and self.current.version,
            routes=len(configuration.routes),
        )
        self.current = configuration
        self.on_change()


class EngineCopy:
    """Applies the engine list to a directory, without rows it can't decode."""

    def __init__(
        self,
        directory: EngineDirectory,
        decode: Callable[[str, bytes], EngineEntry],
    ) -> None:
        self._directory = directory
        self._decode = decode
        self.on_change: Callable[[], None] = lambda: None

    def replace(self, rows: tuple[Row, ...]) -> None:
        """Replace the engines by all rows of the table."""
        decoded = (self._decode_row(row.key.key, row.value) for row in rows)
        entries = [entry for entry in decoded if entry is not None]
        self._directory.replace(entries)
        log_decision("engine list read", engines=len(entries), rows=len(rows))
        self.on_change()

    def apply_change(self, change: RowChange) -> None:
        """
        Apply one change of the table.

        An engine whose new row can't be decoded is removed.
        """
        engine_id = change.key.key
        entry = (
            None if change.value is None else self._decode_row(engine_id, change.value)
        )
        if entry is None:
            self._directory.remove(engine_id)
        else:
            self._directory.put(entry)
        log_decision(
            "engine changed",
            engine=engine_id,
            state=_state(entry),
            version=change.version,
        )
        self.on_change()

    def _decode_row(self, engine_id: str, value: bytes) -> EngineEntry | None:
        try:
            return self._decode(engine_id, value)
        except ValueError as error:
            logger.warning("engine row is skipped: %s", error)
            return None


def _state(entry: EngineEntry | None) -> str:
    if entry is None:
        return "gone"
    return "draining" if entry.draining else "ready"
