"""Base class and HTTP client of the operator commands."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any, ClassVar

import attrs
import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from aspenbridge.result_codes import ResultCode

from ._exit_codes import CONFLICT, DONE, REFUSED, UNREACHABLE

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

URL_VARIABLE = "ASPENBRIDGE_URL"
KEY_VARIABLE = "ASPENBRIDGE_KEY"
DEFAULT_URL = "http://127.0.0.1:8080"
CALL_TIMEOUT_S = 30.0
FIRST_ERROR_STATUS = 400


@attrs.frozen
class HostReply:
    """Status and body of a reply; a body that is not JSON is kept as text."""

    status: int
    body: Any

    @property
    def refused(self) -> bool:
        """Whether the host answered with an error status."""
        return self.status >= FIRST_ERROR_STATUS


class RefusedError(Exception):
    """
    Raised if a host refuses a call, or if a command can't make its calls.

    The latter is the case if its input is not valid or an object is missing.
    ``code`` is the result code, 0 if there is none.
    """

    def __init__(self, problem: Any) -> None:
        detail = problem.get("detail", "") if isinstance(problem, dict) else problem
        self.code = problem.get("code", 0) if isinstance(problem, dict) else 0
        super().__init__(f"{self.code}: {detail}")


class OperatorClient:
    """Calls the operators' API of one host."""

    def __init__(self, session: Any, url: str, key: str) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._headers = {"authorization": f"Bearer {key}"}

    async def call(self, method: str, path: str, body: object = None) -> Any:
        """
        Make one call and return the decoded body of the reply.

        :raises RefusedError: if the host refuses the call.
        """
        content = None if body is None else msgspec.json.encode(body)
        url = f"{self._url}/admin/v1/{path}"
        async with self._session.request(
            method, url, data=content, headers=self._headers
        ) as response:
            reply_content = await response.read()
        reply = HostReply(response.status, _decode(reply_content))
        if reply.refused:
            raise RefusedError(reply.body)
        return reply.body

    async def revision(self) -> int:
        """Return the configuration revision that the host has applied."""
        status = await self.call("GET", "status")
        return int(status["revision"])

    async def find(self, kind: str, name: str) -> dict[str, Any]:
        """
        Return one configuration object.

        :raises RefusedError: if there is no object of this kind and name.
        """
        for item in await self.call("GET", f"objects/{kind}"):
            if item["name"] == name:
                matching: dict[str, Any] = item
                return matching
        raise RefusedError(
            {"code": int(ResultCode.NOT_FOUND), "detail": f"there is no {kind} {name}"}
        )

    async def change(
        self,
        base_revision: int,
        put: list[dict[str, Any]],
        removed: list[tuple[str, str]] | None = None,
    ) -> Any:
        """
        Submit a configuration change and return the host's reply.

        :param base_revision: the revision that the change is based on.
        :param put: objects to add or replace.
        :param removed: kind and name of each object to remove.
        :raises RefusedError: if the host refuses the change.
        """
        body = {"base_revision": base_revision, "put": put, "removed": removed or []}
        return await self.call("POST", "changes", body)


class OperatorCommand(Command):
    """A command that calls the operators' API of a host."""

    options: ClassVar[list[Option]] = [
        option("json", None, "Print JSON."),
        option(
            "url", None, f"URL of the host; ${URL_VARIABLE} if not given.", flag=False
        ),
        option(
            "key", None, f"Operator's key; ${KEY_VARIABLE} if not given.", flag=False
        ),
    ]

    def handle(self) -> int:
        """Run the command and return its exit code."""
        from aspenbridge.loop import run_on_loop

        return run_on_loop(self._run())

    async def perform(self, client: OperatorClient) -> Any:
        """Make the calls of the command and return what to print."""
        raise NotImplementedError

    def print_text(self, output: Any) -> None:
        """Print the output of the command as text."""
        for name, value in output.items():
            self.line(f"{name}: {value}")

    async def _run(self) -> int:
        import aiohttp

        from aspenbridge.client_connections import ClientConnector

        url = self.option("url") or os.environ.get(URL_VARIABLE, DEFAULT_URL)
        key = self.option("key") or os.environ.get(KEY_VARIABLE, "")
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with aiohttp.ClientSession(
                connector=ClientConnector(), timeout=timeout
            ) as session:
                output = await self.perform(OperatorClient(session, url, key))
        except RefusedError as error:
            self.line_error(str(error))
            return CONFLICT if error.code == ResultCode.REVISION_CONFLICT else REFUSED
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.line_error(f"{url}: {type(error).__name__}: {error}")
            return UNREACHABLE
        self._print_output(output)
        return DONE

    def _print_output(self, output: Any) -> None:
        if self.option("json"):
            self.line(msgspec.json.encode(output).decode())
        else:
            self.print_text(output)


def _decode(content: bytes) -> Any:
    try:
        return msgspec.json.decode(content)
    except msgspec.DecodeError:
        return content.decode(errors="replace")
