"""Routes for operators: configuration, status, explanations and recalls."""

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
    """The body of a configuration change, based on a known revision."""

    base_revision: int
    put: tuple[ConfigObject, ...] = ()
    removed: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class HypotheticalWork:
    """Hypothetical work whose placement an operator asks about."""

    customer: str
    model: str
    online: bool = True
    adapter: str | None = None
    labels: dict[str, str] = attrs.field(factory=dict)


def read_change(body: bytes) -> ChangeBody:
    """
    Decode a configuration change.

    :raises ProblemError: when the body is not valid, or a name appears twice
        in one JSON object.
    """
    try:
        value = json.loads(body, object_pairs_hook=_object_without_duplicates)
        return msgspec.convert(value, type=ChangeBody)
    except (ValueError, RecursionError) as error:
        raise Problem(ResultCode.MALFORMED_BODY, str(error)).error() from error


def _object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    for name, value in pairs:
        if name in fields:
            raise ValueError(f"{name!r} appears twice in one object")
        fields[name] = value
    return fields


class OperatorRoutes:
    """Handlers of the routes for operators."""

    def __init__(self, host: HostCore) -> None:
        self._host = host

    def _authenticate_operator(self, request: Request) -> Caller:
        bootstrap = self._host.settings.configuration.bootstrap_operator
        return authenticate(request, self._host.view, "operator", bootstrap=bootstrap)

    async def change(self, request: Request) -> HTTPResponse:
        """Accept a configuration change and announce it to the other hosts."""
        operator = self._authenticate_operator(request)
        body = read_change(request.body)
        change = value_of(
            await self._host.authority.accept(
                operator.name, body.base_revision, body.put, body.removed
            )
        )
        announced = await self._host.announce(change.revision)
        reply = {
            "revision": change.revision,
            "in_force_hosts": announced.in_force_hosts,
            "known_hosts": announced.known_hosts,
        }
        return json_reply(reply, 201)

    async def status(self, request: Request) -> HTTPResponse:
        """Return this host's state and revision and those of the members."""
        self._authenticate_operator(request)
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
        """List the configuration objects of a kind."""
        self._authenticate_operator(request)
        return json_reply(self._host.view.all_of(kind))

    async def dry_run(self, request: Request) -> HTTPResponse:
        """Return what a change would match, without applying it."""
        self._authenticate_operator(request)
        body = read_change(request.body)
        matches = await DryRun(self._host.view).check(body.put, body.removed)
        return json_reply(value_of(matches))

    async def explain(self, request: Request, request_id: str) -> HTTPResponse:
        """Return the decisions on a request, from all hosts that reply."""
        self._authenticate_operator(request)
        steps = await self._host.decisions.explain(request_id)
        if not steps:
            detail = f"no host has records of request {request_id!r}"
            raise Problem(ResultCode.NOT_FOUND, detail).error()
        return json_reply({"request": request_id, "steps": steps})

    async def explain_work(self, request: Request) -> HTTPResponse:
        """
        Return the reasons against running some work, for each engine.

        The reply holds the engines with the work's model and adapter; the
        list of reasons is empty for an engine that may run the work.
        """
        self._authenticate_operator(request)
        work = read_body(request, HypotheticalWork)
        view = self._host.view
        engines = view.placement.engines_serving(work.model, work.adapter)
        reasons = {
            engine.name: [str(item) for item in view.reasons_against(work, engine)]
            for engine in engines
        }
        return json_reply({"revision": view.revision, "engines": reasons})

    async def recalled(self, request: Request, recall: str) -> HTTPResponse:
        """Return a page of completed results that a recall affects."""
        self._authenticate_operator(request)
        if self._host.view.find("recall", recall) is None:
            detail = f"there is no recall {recall!r}"
            raise Problem(ResultCode.NOT_FOUND, detail).error()
        results = self._host.recalled_results
        wants_coding = request.args.get("of") == "coding"
        page = results.coding_page if wants_coding else results.batch_page
        return json_reply(value_of(await page(recall, request.args.get("after", ""))))

    async def rerun(self, request: Request, recall: str, job_id: str) -> HTTPResponse:
        """Submit a new job that runs the affected items of a job again."""
        self._authenticate_operator(request)
        results = self._host.recalled_results
        return json_reply(value_of(await results.rerun(recall, job_id)), 201)


def add_operator_routes(app: Sanic[Any, Any], host: HostCore) -> None:
    """Add the routes for operators to an application."""
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
