"""Routes for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from aspenbridge.configuration import ConfigObject

from ._auth import authenticate
from ._bodies import read_body
from ._customers import value_of
from ._replies import json_reply

if TYPE_CHECKING:
    from sanic import HTTPResponse, Request, Sanic

    from aspenbridge.host import HostCore


@attrs.frozen
class ChangeBody:
    """The body of a configuration change."""

    base_revision: int
    put: tuple[ConfigObject, ...] = ()
    removed: tuple[tuple[str, str], ...] = ()


class OperatorRoutes:
    """Handlers of the operators' routes."""

    def __init__(self, host: HostCore) -> None:
        self._host = host

    async def change(self, request: Request) -> HTTPResponse:
        """Accept a configuration change."""
        operator = authenticate(request, self._host.view, "operator")
        body = read_body(request, ChangeBody)
        change = value_of(
            await self._host.authority.accept(
                operator.name, body.base_revision, body.put, body.removed
            )
        )
        await self._host.follower.refresh()
        return json_reply({"revision": change.revision}, 201)

    async def status(self, request: Request) -> HTTPResponse:
        """Tell what this host knows."""
        authenticate(request, self._host.view, "operator")
        return json_reply(
            {
                "host": self._host.settings.host.name,
                "state": self._host.state,
                "revision": self._host.view.revision,
                "members": [item.news for item in self._host.members.live()],
            }
        )

    async def objects(self, request: Request, kind: str) -> HTTPResponse:
        """List the objects of a kind."""
        authenticate(request, self._host.view, "operator")
        return json_reply(self._host.view.all_of(kind))


def add_operator_routes(app: Sanic[Any, Any], host: HostCore) -> None:
    """Add the operators' routes to an application."""
    routes = OperatorRoutes(host)
    app.add_route(routes.change, "/admin/v1/changes", methods=["POST"])
    app.add_route(routes.status, "/admin/v1/status", methods=["GET"])
    app.add_route(routes.objects, "/admin/v1/objects/<kind>", methods=["GET"])
