"""HTTP clients for the platform: table service, object store, host list."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import aiohttp
import attrs
import msgspec
from returns.result import Failure, Result, Success

from aspenbridge.client_connections import read_body
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

Reply = TypeVar("Reply")
MAX_REPLY_BYTES = 64 * 1024 * 1024
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409


@attrs.frozen
class VersionEntry:
    """The new version of one row that a committed transaction wrote."""

    key: RowKey
    version: int


@attrs.frozen
class ConflictEntry:
    """The current state of a row whose check failed; None if it is absent."""

    key: RowKey
    row: Row | None


@attrs.frozen
class ReadQuery:
    """The body of a request for rows by key."""

    keys: tuple[RowKey, ...]


@attrs.frozen
class ScanQuery:
    """The body of a request for one page of rows with a key prefix."""

    table: str
    prefix: str
    after: str
    limit: int


class _PlatformClient:
    """Sends requests; a failure tells whether one may have been applied."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_s: float
    ) -> None:
        self._session = session
        self._base_url = f"http://{address}"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def send(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[tuple[int, bytes], Unavailable]:
        """
        Send a request and return the status and body of the reply.

        A connection error, a timeout and each status other than 200, 404 and
        409 are returned as ``Unavailable``. After another status the request
        counts as not applied; after an error it counts as maybe applied
        unless it was never sent.
        """
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                data=body,
                timeout=self._timeout,
                allow_redirects=False,
            ) as response:
                reply = await read_body(response, MAX_REPLY_BYTES)
                if response.status in (STATUS_OK, STATUS_NOT_FOUND, STATUS_CONFLICT):
                    return Success((response.status, reply))
                reason = f"status {response.status}"
                return Failure(Unavailable(reason, maybe_applied=False))
        except (aiohttp.ClientError, TimeoutError) as error:
            maybe_sent = not never_sent(error)
            return Failure(Unavailable(type(error).__name__, maybe_applied=maybe_sent))


def _decode(reply: bytes, reply_type: type[Reply]) -> Result[Reply, Unavailable]:
    """Return the content of a reply; one without a length may be cut off."""
    try:
        return Success(msgspec.json.decode(reply, type=reply_type))
    except msgspec.DecodeError as error:
        return Failure(Unavailable(str(error), maybe_applied=True))


class HttpTable:
    """Client for the transactional table service."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_s: float
    ) -> None:
        self._client = _PlatformClient(session, address, timeout_s)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Conflict | Unavailable]:
        """Apply all writes of a transaction, or none if a check fails."""
        body = msgspec.json.encode(transaction)
        result = await self._client.send("POST", "/v1/transact", body)
        if isinstance(result, Failure):
            return Failure(result.failure())
        status, reply = result.unwrap()
        if status == STATUS_CONFLICT:
            conflict = _decode(reply, list[ConflictEntry])
            if isinstance(conflict, Failure):
                return conflict
            rows = {entry.key: entry.row for entry in conflict.unwrap()}
            return Failure(Conflict(rows))
        versions = _decode(reply, list[VersionEntry])
        return versions.map(
            lambda entries: Committed({entry.key: entry.version for entry in entries})
        )

    async def read(
        self, keys: Sequence[RowKey]
    ) -> Result[tuple[Row | None, ...], Unavailable]:
        """Return the rows in the order of the keys; None for absent rows."""
        body = msgspec.json.encode(ReadQuery(tuple(keys)))
        result = await self._client.send("POST", "/v1/read", body)
        rows = result.bind(lambda reply: _decode(reply[1], list[Row | None]))
        return rows.map(tuple)

    async def scan(
        self, table: str, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[Page, Unavailable]:
        """Return a page of rows whose keys have the prefix, in key order."""
        body = msgspec.json.encode(ScanQuery(table, prefix, after, limit))
        result = await self._client.send("POST", "/v1/scan", body)
        return result.bind(lambda reply: _decode(reply[1], Page))


class HttpObjects:
    """Client for the object store."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_s: float
    ) -> None:
        self._client = _PlatformClient(session, address, timeout_s)

    async def put(self, name: str, body: bytes) -> Result[None, Unavailable]:
        """Write an object, replacing one of the same name."""
        result = await self._client.send("PUT", f"/v1/objects/{name}", body)
        return result.map(lambda _: None)

    async def get(self, name: str) -> Result[bytes | None, Unavailable]:
        """Return an object, or None if it does not exist."""
        result = await self._client.send("GET", f"/v1/objects/{name}")
        return result.map(
            lambda reply: None if reply[0] == STATUS_NOT_FOUND else reply[1]
        )

    async def delete(self, name: str) -> Result[None, Unavailable]:
        """Remove an object."""
        result = await self._client.send("DELETE", f"/v1/objects/{name}")
        return result.map(lambda _: None)


class HttpHostList:
    """Client for the platform's list of live and leaving hosts."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_s: float
    ) -> None:
        self._client = _PlatformClient(session, address, timeout_s)

    async def hosts(self) -> Result[tuple[HostEntry, ...], Unavailable]:
        """Return each listed host."""
        result = await self._client.send("GET", "/v1/hosts")
        hosts = result.bind(lambda reply: _decode(reply[1], list[HostEntry]))
        return hosts.map(tuple)
