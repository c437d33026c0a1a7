"""Routes for operators."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from aspenbridge.configuration import ConfigObject
from aspenbridge.explain import DryRun
from aspenbridge.result_codes import Problem, ResultCode

from ._auth import authenticate
from ._bodies import read_body
from ._replies import json_reply, value_of

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


@attrs.frozen
class ImaginedWork:
    """Work that an operator asks about."""

    customer: str
    model: str
    online: bool = True
    adapter: str | None = None
    labels: dict[str, str] = attrs.field(factory=dict)


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
            "in_force_hosts": notified.in_force_hosts,
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
                "freshness": host.propagation.freshness().value,
                "members": [item.news for item in host.members.live()],
            }
        )

    async def objects(self, request: Request, kind: str) -> HTTPResponse:
        """List the objects of a kind."""
        self._operator(request)
        return json_reply(self._host.view.all_of(kind))

    async def dry_run(self, request: Request) -> HTTPResponse:
        """Tell what a change would match, applying nothing."""
        self._operator(request)
        body = read_change(request.body)
        matches = await DryRun(self._host.view).check(body.put, body.removed)
        return json_reply(value_of(matches))

    async def explain(self, request: Request, request_id: str) -> HTTPResponse:
        """Tell where a request went, and why."""
        self._operator(request)
        steps = await self._host.decisions.explain(request_id)
        if not steps:
            detail = f"no host remembers request {request_id!r}"
            raise Problem(ResultCode.NOT_FOUND, detail).error()
        return json_reply({"request": request_id, "steps": steps})

    async def explain_work(self, request: Request) -> HTTPResponse:
        """Tell which engines may run some work, and why others may not."""
        self._operator(request)
        work = read_body(request, ImaginedWork)
        view = self._host.view
        engines = view.placement.engines_serving(work.model, work.adapter)
        reasons = {
            engine.name: [str(item) for item in view.reasons_against(work, engine)]
            for engine in engines
        }
        return json_reply({"revision": view.revision, "engines": reasons})

    async def recalled(self, request: Request, recall: str) -> HTTPResponse:
        """List a page of completed results that came from a recall."""
        self._operator(request)
        if self._host.view.find("recall", recall) is None:
            detail = f"there is no recall {recall!r}"
            raise Problem(ResultCode.NOT_FOUND, detail).error()
        results = self._host.recalled_results
        of_coding = request.args.get("of") == "coding"
        page = results.coding_page if of_coding else results.batch_page
        return json_reply(value_of(await page(recall, request.args.get("after", ""))))

    async def rerun(self, request: Request, recall: str, job_id: str) -> HTTPResponse:
        """Run the affected items of a job again, as a new job."""
        self._operator(request)
        results = self._host.recalled_results
        return json_reply(value_of(await results.rerun(recall, job_id)), 201)


def add_operator_routes(app: Sanic[Any, Any], host: HostCore) -> None:
    """Add the operators' routes to an application."""
    routes = OperatorRoutes(host)
    app.add_route(routes.change, "/admin/v1/changes", methods=["POST"])
    app.add_route(routes.status, "/admin/v1/status", methods=["GET"])
    app.add_route(routes.objects, "/admin/v1/objects/<kind>", methods=["GET"])
    app.add_route(routes.dry_run, "/admin/v1/dry-run", methods=["POST"])
    app.add_route(routes.explain_work, "/admin/v1/explain", methods=["POST"])
    app.add_route(routes.explain, "/admin/v1/explain/<request_id>", methods=["GET"])
    app.add_route(
        routes.recalled, "/admin/v1/recalls/<recall>/results", methods=["GET"]
    )
    app.add_route(
        routes.rerun, "/admin/v1/recalls/<recall>/rerun/<job_id>", methods=["POST"]
    )
