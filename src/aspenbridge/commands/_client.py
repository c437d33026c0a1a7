"""A caller of the HTTP surface, for the commands that use a fleet."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

if TYPE_CHECKING:
    from types import TracebackType

CALL_LIMIT_S = 60.0
KEY_VARIABLE = "ASPENBRIDGE_KEY"
FIRST_ERROR = 400


class RefusedError(Exception):
    """A host answered with a problem."""

    def __init__(self, problem: dict[str, Any]) -> None:
        code, detail = problem.get("code"), problem.get("detail")
        super().__init__(f"{code}: {detail} ({problem.get('execution')})")
        self.problem = problem


class UnreachableError(Exception):
    """No host answered."""


class ApiClient:
    """Calls hosts by their URLs and goes on to the next when one is gone."""

    def __init__(self, urls: str, key: str | None) -> None:
        self._urls = [url.strip().rstrip("/") for url in urls.split(",")]
        token = key or os.environ.get(KEY_VARIABLE, "")
        self._headers = {"authorization": f"Bearer {token}"}

    async def __aenter__(self) -> ApiClient:
        timeout = aiohttp.ClientTimeout(total=CALL_LIMIT_S)
        self._session = aiohttp.ClientSession(headers=self._headers, timeout=timeout)
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
        Make one call and return the reply's body.

        :param headers: more headers, ``_`` standing for ``-``.
        :raises RefusedError: when the host answers with a problem.
        :raises UnreachableError: when no host answers.
        """
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        failure = "no URL was given"
        for url in list(self._urls):
            try:
                return await self._once(method, url + path, body, named)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                failure = f"{url}: {error or type(error).__name__}"
                self._urls.append(self._urls.pop(0))
        raise UnreachableError(failure)

    async def json(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> dict[str, Any]:
        """Make one call with JSON bodies."""
        sent = None if body is None else msgspec.json.encode(body)
        reply = await self.call(method, path, sent, **headers)
        return msgspec.json.decode(reply, type=dict[str, Any])

    async def _once(
        self, method: str, url: str, body: bytes | None, headers: dict[str, str]
    ) -> bytes:
        async with self._session.request(
            method, url, data=body, headers=headers
        ) as response:
            reply = await response.read()
            if response.status >= FIRST_ERROR:
                raise RefusedError(_problem(response.status, reply))
            return reply


def _problem(status: int, reply: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(reply, type=dict[str, Any])
    except msgspec.DecodeError:
        return {"code": status, "detail": "the reply is no problem details"}
