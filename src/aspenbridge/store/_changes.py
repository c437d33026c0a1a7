"""A set of changes that is committed atomically."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aspenbridge.ports import Check, Delete, Put, Transaction

from ._records import encode_record

if TYPE_CHECKING:
    from aspenbridge.ports import RowKey

    from ._records import Stored


class Changes:
    """Collects the checks and writes of one transaction."""

    def __init__(self) -> None:
        self._checks: dict[RowKey, int] = {}
        self._puts: dict[RowKey, object] = {}
        self._deletes: dict[RowKey, None] = {}

    @property
    def keys(self) -> frozenset[RowKey]:
        """Keys of the rows that are put or deleted."""
        return frozenset((*self._puts, *self._deletes))

    @property
    def rows(self) -> int:
        """Number of rows that are checked, put or deleted."""
        return len({*self._checks, *self._puts, *self._deletes})

    def check(self, key: RowKey, version: int) -> Changes:
        """Require that a row has a version; 0 means that it is absent."""
        self._checks[key] = version
        return self

    def unchanged(self, stored: Stored[Any]) -> Changes:
        """Require that a row still has the version that was read."""
        return self.check(stored.key, stored.version)

    def absent(self, key: RowKey) -> Changes:
        """Require that a row does not exist."""
        return self.check(key, 0)

    def put(self, key: RowKey, record: object) -> Changes:
        """Write a record to a row."""
        self._puts[key] = record
        return self

    def delete(self, key: RowKey) -> Changes:
        """Delete a row."""
        self._deletes[key] = None
        return self

    def is_compatible_with(self, other: Changes) -> bool:
        """
        Return whether both sets of changes can share one transaction.

        They can't if one set writes a row that the other writes or checks, or
        if both check a row for different versions.
        """
        written = {*self._puts, *self._deletes}
        other_written = {*other._puts, *other._deletes}
        if written & (other_written | other._checks.keys()):
            return False
        if other_written & self._checks.keys():
            return False
        shared = self._checks.keys() & other._checks.keys()
        return all(self._checks[key] == other._checks[key] for key in shared)

    def merge(self, other: Changes) -> None:
        """Add the changes of another set, which must be compatible."""
        self._checks.update(other._checks)
        self._puts.update(other._puts)
        self._deletes.update(other._deletes)

    def transaction(self, token: bytes) -> Transaction:
        """
        Return the transaction for the table service.

        :param token: put at the head of each written value, so that a retry
            recognises the writes of this transaction.
        """
        return Transaction(
            checks=tuple(Check(key, version) for key, version in self._checks.items()),
            puts=tuple(
                Put(key, encode_record(record, token))
                for key, record in self._puts.items()
            ),
            deletes=tuple(Delete(key) for key in self._deletes),
        )
