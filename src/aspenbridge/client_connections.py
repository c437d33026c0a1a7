"""Connections of HTTP clients that tell a reset from an orderly end."""

from __future__ import annotations

from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .loop import pending_error


class ClientConnection(ResponseHandler):
    """
    A connection on which a body that its server resets is an error.

    A body with neither a length nor chunks ends when the server closes the
    connection in an orderly way. aiohttp takes any end of the connection for
    the end of such a body.
    """

    _pending_error: OSError | None = None

    def eof_received(self) -> None:
        """Note the error that the event loop may report as an orderly end."""
        if self.transport is not None:
            self._pending_error = pending_error(self.transport)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is being read if the connection had an error."""
        error = exc or self._pending_error
        body = self._payload
        if error is not None and body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError(f"connection reset: {error}"))
        super().connection_lost(error)


class ClientConnector(aiohttp.TCPConnector):
    """Opens connections of the class ``connection_class``."""

    connection_class: type[ClientConnection] = ClientConnection

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory: Any = partial(self.connection_class, loop=self._loop)


__all__ = ["ClientConnection", "ClientConnector"]
