"""HTTP client of the job commands."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from aspenbridge.client_connections import ClientConnector

if TYPE_CHECKING:
    from types import TracebackType

CALL_TIMEOUT_S = 60.0
KEY_VARIABLE = "ASPENBRIDGE_KEY"
FIRST_ERROR_STATUS = 400


class RefusedError(Exception):
    """Raised if a host answers with a problem."""

    def __init__(self, problem: dict[str, Any]) -> None:
        code, detail = problem.get("code"), problem.get("detail")
        super().__init__(f"{code}: {detail} ({problem.get('execution')})")
        self.problem = problem


class UnreachableError(Exception):
    """Raised if no host answers."""


class ApiClient:
    """
    Calls a fleet's API and tries the next host if one can't be reached.

    A host that can't be reached is tried last from then on.

    :param urls: URLs of hosts, separated by commas.
    :param key: the API key; None to read it from ``ASPENBRIDGE_KEY``.
    """

    def __init__(self, urls: str, key: str | None) -> None:
        self._urls = [url.strip().rstrip("/") for url in urls.split(",")]
        token = key or os.environ.get(KEY_VARIABLE, "")
        self._headers = {"authorization": f"Bearer {token}"}

    async def __aenter__(self) -> ApiClient:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self._session = aiohttp.ClientSession(
            connector=ClientConnector(), headers=self._headers, timeout=timeout
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._session.close()

    async def call(
        self, method: str, path: str, body: bytes | None = None, **headers: str
    ) -> bytes:
        """
        Make a call and return the body of the reply.

        A call that fails on one host is sent to the next one, even if it may
        have run.

        :param headers: additional headers; ``_`` in a name stands for ``-``.
        :raises RefusedError: if the host answers with a problem.
        :raises UnreachableError: if no host answers.
        """
        request_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        failure = "no URL was given"
        for url in list(self._urls):
            try:
                return await self._send(method, url + path, body, request_headers)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                failure = f"{url}: {error or type(error).__name__}"
                self._urls.append(self._urls.pop(0))
        raise UnreachableError(failure)

    async def json(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> dict[str, Any]:
        """Make one call whose request and reply have JSON bodies."""
        content = None if body is None else msgspec.json.encode(body)
        reply = await self.call(method, path, content, **headers)
        return msgspec.json.decode(reply, type=dict[str, Any])

    async def _send(
        self, method: str, url: str, body: bytes | None, headers: dict[str, str]
    ) -> bytes:
        async with self._session.request(
            method, url, data=body, headers=headers
        ) as response:
            reply = await response.read()
            if response.status >= FIRST_ERROR_STATUS:
                raise RefusedError(_decode_problem(response.status, reply))
            return reply


def _decode_problem(status: int, reply: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(reply, type=dict[str, Any])
    except msgspec.DecodeError:
        return {"code": status, "detail": "the reply is no problem details"}
