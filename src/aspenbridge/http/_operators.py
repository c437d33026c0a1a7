"""Routes for operators."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from aspenbridge.configuration import ConfigObject
from aspenbridge.result_codes import Problem, ResultCode

from ._auth import authenticate
from ._customers import value_of
from ._replies import json_reply

if TYPE_CHECKING:
    from sanic import HTTPResponse, Request, Sanic

    from aspenbridge.host import HostCore

    from ._auth import Caller


@attrs.frozen
class ChangeBody:
    """The body of a configuration change."""

    base_revision: int
    put: tuple[ConfigObject, ...] = ()
    removed: tuple[tuple[str, str], ...] = ()


def read_change(body: bytes) -> ChangeBody:
    """
    Return a change, refusing names that stand twice in one object.

    :raises ProblemError: when the body is not valid.
    """
    try:
        value = json.loads(body, object_pairs_hook=_unique)
        return msgspec.convert(value, type=ChangeBody)
    except (ValueError, RecursionError) as error:
        raise Problem(ResultCode.MALFORMED_BODY, str(error)).error() from error


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for name, value in pairs:
        if name in found:
            raise ValueError(f"{name!r} stands twice in one object")
        found[name] = value
    return found


class OperatorRoutes:
    """Handlers of the operators' routes."""

    def __init__(self, host: HostCore) -> None:
        self._host = host

    def _operator(self, request: Request) -> Caller:
        bootstrap = self._host.settings.configuration.bootstrap_operator
        return authenticate(request, self._host.view, "operator", bootstrap=bootstrap)

    async def change(self, request: Request) -> HTTPResponse:
        """Accept a configuration change."""
        operator = self._operator(request)
        body = read_change(request.body)
        change = value_of(
            await self._host.authority.accept(
                operator.name, body.base_revision, body.put, body.removed
            )
        )
        notified = await self._host.announce(change.revision)
        reply = {
            "revision": change.revision,
            "in_force_hosts": notified.in_force,
            "known_hosts": notified.known_hosts,
        }
        return json_reply(reply, 201)

    async def status(self, request: Request) -> HTTPResponse:
        """Tell which revision is in force on which host."""
        self._operator(request)
        host = self._host
        return json_reply(
            {
                "host": host.settings.host.name,
                "state": host.state,
                "revision": host.view.revision,
                "freshness": host.spread.verdict().value,
                "members": [item.news for item in host.members.live()],
            }
        )

    async def objects(self, request: Request, kind: str) -> HTTPResponse:
        """List the objects of a kind."""
        self._operator(request)
        return json_reply(self._host.view.all_of(kind))


def add_operator_routes(app: Sanic[Any, Any], host: HostCore) -> None:
    """Add the operators' routes to an application."""
    routes = OperatorRoutes(host)
    app.add_route(routes.change, "/admin/v1/changes", methods=["POST"])
    app.add_route(routes.status, "/admin/v1/status", methods=["GET"])
    app.add_route(routes.objects, "/admin/v1/objects/<kind>", methods=["GET"])
