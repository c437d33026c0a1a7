"""A set of changes that take effect together."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aspenbridge.ports import Check, Delete, Put, Transaction

from ._records import encode_record

if TYPE_CHECKING:
    from aspenbridge.ports import RowKey

    from ._records import Stored


class Changes:
    """Collects checks and writes for one transaction."""

    def __init__(self) -> None:
        self._checks: dict[RowKey, int] = {}
        self._puts: dict[RowKey, object] = {}
        self._deletes: dict[RowKey, None] = {}

    @property
    def keys(self) -> frozenset[RowKey]:
        """The rows that would be written."""
        return frozenset((*self._puts, *self._deletes))

    @property
    def rows(self) -> int:
        """The number of rows that would be checked or written."""
        return len({*self._checks, *self._puts, *self._deletes})

    def check(self, key: RowKey, version: int) -> Changes:
        """Require that a row has a version; 0 means absent."""
        self._checks[key] = version
        return self

    def unchanged(self, stored: Stored[Any]) -> Changes:
        """Require that a row is as it was read."""
        return self.check(stored.key, stored.version)

    def absent(self, key: RowKey) -> Changes:
        """Require that a row does not exist."""
        return self.check(key, 0)

    def put(self, key: RowKey, record: object) -> Changes:
        """Write a record."""
        self._puts[key] = record
        return self

    def delete(self, key: RowKey) -> Changes:
        """Remove a row."""
        self._deletes[key] = None
        return self

    def agrees_with(self, other: Changes) -> bool:
        """Return whether both can be one transaction."""
        written = {*self._puts, *self._deletes}
        others_written = {*other._puts, *other._deletes}
        if written & (others_written | other._checks.keys()):
            return False
        if others_written & self._checks.keys():
            return False
        shared = self._checks.keys() & other._checks.keys()
        return all(self._checks[key] == other._checks[key] for key in shared)

    def add(self, other: Changes) -> None:
        """Take over the changes of another set that agrees with this one."""
        self._checks.update(other._checks)
        self._puts.update(other._puts)
        self._deletes.update(other._deletes)

    def transaction(self, token: bytes) -> Transaction:
        """Return the transaction, each written value marked by the token."""
        return Transaction(
            checks=tuple(Check(key, version) for key, version in self._checks.items()),
            puts=tuple(
                Put(key, encode_record(record, token))
                for key, record in self._puts.items()
            ),
            deletes=tuple(Delete(key) for key in self._deletes),
        )
