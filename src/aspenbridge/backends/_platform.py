"""Clients of the platform: table service, object store, host list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import attrs
import msgspec
from returns.result import Failure, Result, Success

from aspenbridge.ports import (
    Committed,
    Conflict,
    HostEntry,
    Page,
    Row,
    RowKey,
    Unavailable,
)

from ._session import never_sent

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aspenbridge.ports import Transaction

OK = 200
NOT_FOUND = 404
CONFLICT = 409


@attrs.frozen
class VersionEntry:
    """The version of one row after a transaction."""

    key: RowKey
    version: int


@attrs.frozen
class ConflictEntry:
    """A row that failed its check, as it is now."""

    key: RowKey
    row: Row | None


@attrs.frozen
class ReadQuery:
    """Asks for rows by key."""

    keys: tuple[RowKey, ...]


@attrs.frozen
class ScanQuery:
    """Asks for a page of rows by prefix."""

    table: str
    prefix: str
    after: str
    limit: int


class _Client:
    """Sends one request and tells what a failure may have done."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_s: float
    ) -> None:
        self._session = session
        self._base = f"http://{address}"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def send(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[tuple[int, bytes], Unavailable]:
        """Return status and body of a reply that is not an outage."""
        try:
            async with self._session.request(
                method, self._base + path, data=body, timeout=self._timeout
            ) as response:
                reply = await response.read()
                if response.status in (OK, NOT_FOUND, CONFLICT):
                    return Success((response.status, reply))
                reason = f"status {response.status}"
                return Failure(Unavailable(reason, maybe_applied=False))
        except (aiohttp.ClientError, TimeoutError) as error:
            applied = not never_sent(error)
            return Failure(Unavailable(type(error).__name__, maybe_applied=applied))


class HttpTable:
    """The table service."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_s: float
    ) -> None:
        self._client = _Client(session, address, timeout_s)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | Unavailable]:
        """Apply all writes of a transaction, or none."""
        body = msgspec.json.encode(transaction)
        sent = await self._client.send("POST", "/v1/transact", body)
        if isinstance(sent, Failure):
            return Failure(sent.failure())
        status, reply = sent.unwrap()
        if status == CONFLICT:
            entries = msgspec.json.decode(reply, type=list[ConflictEntry])
            return Failure(Conflict({entry.key: entry.row for entry in entries}))
        versions = msgspec.json.decode(reply, type=list[VersionEntry])
        return Success(Committed({entry.key: entry.version for entry in versions}))

    async def read(
        self, keys: Sequence[RowKey]
    ) -> Result[tuple[Row | None, ...], Unavailable]:
        """Return the rows in the order of the keys."""
        body = msgspec.json.encode(ReadQuery(tuple(keys)))
        sent = await self._client.send("POST", "/v1/read", body)
        return sent.map(
            lambda reply: tuple(msgspec.json.decode(reply[1], type=list[Row | None]))
        )

    async def scan(
        self, table: str, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[Page, Unavailable]:
        """Return rows whose key has the prefix, in key order."""
        body = msgspec.json.encode(ScanQuery(table, prefix, after, limit))
        sent = await self._client.send("POST", "/v1/scan", body)
        return sent.map(lambda reply: msgspec.json.decode(reply[1], type=Page))


class HttpObjects:
    """The object store."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_s: float
    ) -> None:
        self._client = _Client(session, address, timeout_s)

    async def put(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """Write an object."""
        sent = await self._client.send("PUT", f"/v1/objects/{name}", body)
        return sent.map(lambda _: None)

    async def get(self, name: str) -> Result[bytes | None, Unavailable]:
        """Return an object, or None."""
        sent = await self._client.send("GET", f"/v1/objects/{name}")
        return sent.map(lambda reply: None if reply[0] == NOT_FOUND else reply[1])

    async def delete(self, name: str) -> Result[None, Unavailable]:
        """Remove an object."""
        sent = await self._client.send("DELETE", f"/v1/objects/{name}")
        return sent.map(lambda _: None)


class HttpHostList:
    """The list of live and leaving hosts."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_s: float
    ) -> None:
        self._client = _Client(session, address, timeout_s)

    async def hosts(self) -> Result[tuple[HostEntry, ...], Unavailable]:
        """Return each listed host."""
        sent = await self._client.send("GET", "/v1/hosts")
        return sent.map(
            lambda reply: tuple(msgspec.json.decode(reply[1], type=list[HostEntry]))
        )
