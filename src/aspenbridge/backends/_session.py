"""The HTTP client session that all HTTP clients of a host share."""

from __future__ import annotations

import aiohttp

from aspenbridge.client_connections import ClientConnector, open_client_session

MAX_CONNECTIONS_PER_SERVER = 2048
CONNECT_TIMEOUT_S = 1.0


def open_session() -> aiohttp.ClientSession:
    """
    Return a session that sends each request once.

    The caller must close it.
    """
    connector = ClientConnector(limit=0, limit_per_host=MAX_CONNECTIONS_PER_SERVER)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
    return open_client_session(connector=connector, timeout=timeout)


def never_sent(error: Exception) -> bool:
    """Return whether the error proves that no byte of the request was sent."""
    return isinstance(error, aiohttp.ClientConnectorError)
