"""The HTTP session that all clients of a host share."""

from __future__ import annotations

import aiohttp

CONNECTIONS_PER_SERVER = 2048
CONNECT_LIMIT_S = 1.0


def open_session() -> aiohttp.ClientSession:
    """Return a session; the caller closes it."""
    connector = aiohttp.TCPConnector(limit=0, limit_per_host=CONNECTIONS_PER_SERVER)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_LIMIT_S)
    return aiohttp.ClientSession(connector=connector, timeout=timeout)


def never_sent(error: Exception) -> bool:
    """Return whether an error tells that no byte of the request went out."""
    return isinstance(error, aiohttp.ClientConnectorError)
