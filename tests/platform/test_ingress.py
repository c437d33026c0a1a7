"""Responses to callers over real sockets; store and engines in memory."""

from __future__ import annotations

import asyncio
import base64
import json
import socket
from contextlib import asynccontextmanager
from typing import NamedTuple

import aiohttp
import pytest

from aspenbridge.clock import SystemClock
from aspenbridge.entry import Address, EntryHost
from aspenbridge.fleet import CallKind
from aspenbridge.loop import NumericAddressLoop
from aspenbridge.platform._ingress import Ingress
from aspenbridge.ports import CallOutcome
from tests.support.entry_fleet import (
    EntryFleet,
    Fault,
    make_configuration,
    make_route,
)
from tests.support.processes import own_ip

HEADERS = {"Host": "a.example", "X-Aspenbridge-Deadline-Ms": "5000"}


def free_address() -> Address:
    with socket.socket() as sock:
        sock.bind((own_ip(), 0))
        return Address(*sock.getsockname())


class HostUnderTest(NamedTuple):
    """A host with its HTTP servers, and a client session."""

    session: aiohttp.ClientSession
    host: EntryHost
    callers: Address
    ready: Address
    metrics: Address
    ingress: Ingress


def run_with_host(check):
    @asynccontextmanager
    async def host_under_test():
        async with EntryFleet(SystemClock(), hosts=1) as fleet:
            callers, ready, metrics = (free_address() for _ in range(3))
            host = fleet.hosts["h0"]
            async with (
                Ingress(host, callers, ready, metrics) as ingress,
                aiohttp.ClientSession() as session,
            ):
                yield (
                    fleet,
                    HostUnderTest(session, host, callers, ready, metrics, ingress),
                )

    async def main():
        async with host_under_test() as (fleet, parts):

            def call(method, path, request_id="r1", data=None, **headers):
                return parts.session.request(
                    method,
                    f"http://{parts.callers}{path}",
                    data=data,
                    headers=HEADERS
                    | {"X-Aspenbridge-Attempt-Id": request_id}
                    | headers,
                )

            await check(fleet, call, parts)

    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        runner.run(main())


def job_body(*ids):
    items = [
        {
            "id": item_id,
            "path": f"/batch/{item_id}",
            "headers": {},
            "body": base64.b64encode(item_id.encode()).decode(),
            "tokens": 10,
        }
        for item_id in ids
    ]
    return json.dumps({"requests": items}).encode()


def test_stream_has_the_engines_status_and_the_whole_body():
    async def check(fleet, call, _):
        async with call("POST", "/online/x", data=b"q") as response:
            assert response.status == 200
            assert response.content_type == "text/event-stream"
            assert (await response.read()).count(b"data: t") == 10

    run_with_host(check)


def test_broken_stream_does_not_look_complete():
    async def check(fleet, call, _):
        fleet.engines.faults["r1"] = [Fault(break_after=4)]
        async with call("POST", "/once/x", data=b"q") as response:
            with pytest.raises(aiohttp.ClientPayloadError):
                await response.read()

    run_with_host(check)


def test_refusal_has_a_retry_after_header():
    async def check(fleet, call, _):
        refused = Fault(outcome=CallOutcome.REFUSED)
        fleet.engines.faults["r1"] = [refused]
        async with call("POST", "/once/x", data=b"q") as response:
            assert response.status == 503
            assert 0 < float(response.headers["Retry-After"]) < 2
            assert (await response.json())["execution"] == "not run"

    run_with_host(check)


def test_engine_run_ends_within_half_a_second_after_the_caller_disconnects():
    async def check(fleet, call, _):
        fleet.engines.event_s = 0.3
        response = await call("POST", "/online/x", data=b"q")
        response.close()
        await asyncio.sleep(0.4)
        assert fleet.engines.runs[0].ended_s is not None

    run_with_host(check)


def test_job_that_does_not_fit_on_its_route_gets_429_and_when_to_come_back():
    async def check(fleet, call, _):
        route = make_route("batch", kind=CallKind.BATCH, max_waiting_tokens=30)
        fleet.configurations[b"2"] = make_configuration(2, (route,))
        fleet.store.write("op", "config", b"2")
        fleet.engines.event_s = 1.0
        await asyncio.sleep(0.2)
        async with call("POST", "/batch/j1", "j1", job_body("a", "b")) as response:
            assert response.status == 202
        async with call("POST", "/batch/j2", "j2", job_body("c", "d")) as response:
            assert response.status == 429
            assert float(response.headers["Retry-After"]) > 0
            problem = await response.json()
            assert (problem["code"], problem["execution"]) == (3007, "not run")
            assert "20 tokens do not fit" in problem["error"]
        body = job_body("e", "f", "g", "h")
        async with call("POST", "/batch/j3", "j3", body) as response:
            assert response.status == 429
            assert "Retry-After" not in response.headers

    run_with_host(check)


def test_job_is_submitted_read_by_position_and_ended():
    async def check(fleet, call, _):
        async with call("POST", "/batch/j1", "j1", job_body("a", "b")) as response:
            assert response.status == 202
        async with call("POST", "/batch/j1", "j1", job_body("a", "b")) as response:
            assert response.status == 202
        async with call("GET", "/items/j1?id=b") as response:
            assert await response.read() == b"b"
        results = []
        while len(results) < 2:
            path = f"/lots/j1?after={len(results)}"
            async with call(
                "GET", path, **{"X-Aspenbridge-Wait-Ms": "1000"}
            ) as response:
                page = await response.json()
            results += page["results"]
            assert (page["total"], page["nextToken"]) == (2, len(results))
        assert {r["id"] for r in results} == {"a", "b"}
        assert {r["state"] for r in results} == {"completed"}
        for _ in range(2):
            async with call("DELETE", "/lots/j1") as response:
                assert response.status == 200

    run_with_host(check)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/lots/unknown?after=0", 404),
        ("GET", "/items/unknown?id=a", 404),
        ("DELETE", "/lots/unknown", 404),
        ("POST", "/nowhere/x", 404),
        ("GET", "/lots/j1?after=x", 400),
    ],
)
def test_unknown_resource_or_invalid_parameter_gets_an_error_status(
    method, path, status
):
    async def check(fleet, call, _):
        async with call(method, path) as response:
            assert response.status == status

    run_with_host(check)


def test_refused_call_is_logged_with_its_id_and_the_reason(caplog):
    async def check(fleet, call, _):
        async with call("GET", "/lots/unknown?after=0", "r7") as response:
            assert response.status == 404
        async with call("POST", "/nowhere/x", "r8") as response:
            assert response.status == 404

    caplog.set_level("INFO", "aspenbridge.decisions")
    run_with_host(check)
    decisions = {
        r.decision["request"]: r for r in caplog.records if "request" in r.decision
    }
    assert decisions["r7"].decision["code"] == "not_found"
    assert "unknown" in decisions["r7"].decision["reason"]
    assert decisions["r8"].decision["path"] == "/nowhere/x"


def test_invalid_job_is_refused_as_malformed():
    async def check(fleet, call, _):
        async with call("POST", "/batch/j1", "j1", b"{}") as response:
            assert response.status == 400

    run_with_host(check)


def test_host_that_shuts_down_is_not_ready_but_serves_requests():
    async def check(fleet, call, host_under_test):
        session, host, _, ready, metrics, _ = host_under_test
        async with session.get(f"http://{ready}/readyz") as response:
            assert response.status == 200
        host.leaving = True
        async with session.get(f"http://{ready}/readyz") as response:
            assert response.status == 503
        async with call("POST", "/online/x", data=b"q") as response:
            assert response.headers["Connection"] == "close"
            assert (await response.read()).count(b"data: t") == 10
        async with session.get(f"http://{metrics}/metrics") as response:
            assert "requests_total" in await response.text()

    run_with_host(check)


def test_drain_ends_in_time_although_requests_keep_arriving():
    """
    Guards against a shutdown that never gets quiet.

    While few hosts of the zone are ready, the load balancer sends new
    connections to this host until it refuses them.
    """

    async def check(fleet, call, host_under_test):
        host_under_test.host.leaving = True
        refused, incomplete = [], []

        async def keep_calling():
            while not refused:
                try:
                    async with call("POST", "/online/x", data=b"q") as response:
                        body = await response.read()
                        incomplete.extend([body] if body.count(b"data: t") < 10 else [])
                except aiohttp.ClientConnectorError as error:
                    refused.append(error)

        callers = [asyncio.create_task(keep_calling()) for _ in range(3)]
        await asyncio.sleep(0.1)
        assert await host_under_test.ingress.drain(3.5)
        assert refused
        await asyncio.gather(*callers)
        assert not incomplete

    run_with_host(check)


def test_drain_closes_idle_connections_before_its_final_phase():
    """Guards against a late request that is accepted and then cancelled."""

    async def check(fleet, call, host_under_test):
        async with host_under_test.session.get(
            f"http://{host_under_test.ready}/readyz"
        ) as response:
            assert response.status == 200
        reader, writer = await asyncio.open_connection(
            host_under_test.callers.ip, host_under_test.callers.port
        )
        host_under_test.host.leaving = True
        assert await host_under_test.ingress.drain(3.0)
        async with asyncio.timeout(1.0):
            assert await reader.read() == b""
        writer.close()

    run_with_host(check)


def test_body_over_the_configured_limit_is_refused_as_too_large():
    async def check(fleet, call, _):
        async with call("POST", "/online/x", data=b"x" * 4_194_305) as response:
            assert response.status == 413
        async with call("POST", "/online/x", data=b"x" * 4_194_304) as response:
            assert response.status == 200

    run_with_host(check)
