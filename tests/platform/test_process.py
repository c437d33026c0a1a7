"""An entry host as a process, with a store stand-in on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tomllib
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import aiohttp
from aiohttp import web

from aspenbridge.loop import NumericAddressLoop
from aspenbridge.platform import _serve
from aspenbridge.platform._reload import (
    POLL_INTERVAL_S,
    SettingsWatcher,
    read_file_version,
)
from aspenbridge.platform._settings import load_entry_settings
from tests.support.platform_standins import (
    SETTINGS,
    StoreStandIn,
    configuration,
    engine_row,
)
from tests.support.processes import START_LIMIT_S, free_ports

SYSTEM_FILE = Path(__file__).parents[2] / "deploy" / "system.toml"
# The port of the metrics is fixed, and other runs of the tests may use it.
HOST_IP = f"127.1.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
REQUEST_ID = "X-Aspenbridge-Attempt-Id"
ROUTE = {
    "name": "r",
    "host": "a.example",
    "prefix": "/a/",
    "routeKind": "streaming",
    "timeoutMs": 5000,
    "latencyGoalMs": 300,
    "service": "llm",
    "maxAttempts": 1,
}


async def engine(request):
    await request.read()
    response = web.StreamResponse(
        headers={
            REQUEST_ID: request.headers[REQUEST_ID],
            "X-Aspenbridge-Server-Stamp": "s",
            "Content-Type": "text/event-stream",
        }
    )
    response.enable_chunked_encoding()
    await response.prepare(request)
    for number in range(20):
        await response.write(f"id: {number}\ndata: w\n\n".encode())
        await asyncio.sleep(0.05)
    return response


@asynccontextmanager
async def host_process(
    tmp_path, engine=engine, fill_store=lambda store: None, limits="memoryMb = 200"
):
    """
    Run a host; ``fill_store`` may write other rows before it starts.

    :param limits: the lines of the section ``limits`` of its settings.
    """
    loop = asyncio.get_running_loop()
    engine_server = await loop.create_server(web.Server(engine), "127.0.0.1", 0)
    engine_port = engine_server.sockets[0].getsockname()[1]
    store = StoreStandIn()
    store.write("op", "config", configuration(3, [ROUTE]))
    store.write("servers", "i-1", engine_row(f"127.0.0.1:{engine_port}"))
    fill_store(store)
    store_server = await loop.create_server(web.Server(store.handle), "127.0.0.1", 0)
    store_port = store_server.sockets[0].getsockname()[1]
    ports = free_ports(3)
    path = tmp_path / "node.toml"
    callers, ready, peers = ports
    path.write_text(
        SETTINGS.format(
            name="h1",
            ip=HOST_IP,
            callers=callers,
            ready=ready,
            peers=peers,
            drain_ms=3000,
            stop_s=8,
            results_kept_s=120,
            store=f"127.0.0.1:{store_port}",
        ).replace("memoryMb = 200", limits)
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "aspenbridge.platform",
        env=os.environ | {"ASPENBRIDGE_BOOT": str(path)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        yield process, ports, path
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        engine_server.close()
        store_server.close()


async def wait_status(session, url, status):
    for _ in range(300):
        try:
            async with session.get(url) as response:
                if response.status == status:
                    return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.05)
    raise AssertionError(f"{url} did not answer {status}")


def send_request(session, ports, path="/a/x"):
    return session.post(
        f"http://{HOST_IP}:{ports[0]}{path}",
        data=b"q",
        headers={"Host": "a.example", REQUEST_ID: "r1"},
    )


def run_on_loop(coroutine):
    with asyncio.Runner(loop_factory=NumericAddressLoop) as runner:
        return runner.run(coroutine)


def test_process_exits_cleanly_when_sigterm_is_repeated_to_its_end(tmp_path):
    async def check():
        async with (
            host_process(tmp_path) as (process, ports, _),
            aiohttp.ClientSession() as session,
        ):
            await wait_status(session, f"http://{HOST_IP}:{ports[1]}/readyz", 200)
            while process.returncode is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.005)
            return process.returncode

    assert run_on_loop(check()) == 0


async def wait_for_imports(process) -> None:
    """Wait until a process imports its libraries."""
    maps = Path(f"/proc/{process.pid}/maps")
    async with asyncio.timeout(START_LIMIT_S):
        while "msgspec" not in maps.read_text():
            await asyncio.sleep(0.001)


# Guards against a host that ends by a signal to reload while it starts.
def test_process_that_starts_outlives_signals_to_reload(tmp_path):
    async def check():
        async with (
            host_process(tmp_path) as (process, ports, _),
            aiohttp.ClientSession() as session,
        ):
            await wait_for_imports(process)
            ready = asyncio.create_task(
                wait_status(session, f"http://{HOST_IP}:{ports[1]}/readyz", 200)
            )
            while not ready.done():
                assert process.returncode is None
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.005)
            await ready
            async with send_request(session, ports) as response:
                assert response.status == 200
            return process.returncode

    assert run_on_loop(check()) is None


# Guards against a change between reading the settings and the first check.
def test_settings_that_changed_after_they_were_read_are_reloaded(tmp_path):
    async def check():
        async with host_process(tmp_path) as (_, _, path):
            old_version, settings = read_file_version(path), load_entry_settings(path)
            changed = path.read_text().replace("rowBytes = 65536", "rowBytes = 4096")
            path.write_text(changed)
            applied = asyncio.Queue()
            watcher = SettingsWatcher(
                path, old_version, settings, asyncio.Event(), applied.put_nowait
            )
            running = asyncio.create_task(watcher.run())
            async with asyncio.timeout(2 * POLL_INTERVAL_S):
                new_settings = await applied.get()
            running.cancel()
            return new_settings.store_limits.row_bytes

    assert run_on_loop(check()) == 4096


def test_process_serves_reloads_and_stops_without_breaking_a_stream(tmp_path):
    async def check():
        async with (
            host_process(tmp_path) as (process, ports, path),
            aiohttp.ClientSession() as session,
        ):
            ready_url = f"http://{HOST_IP}:{ports[1]}/readyz"
            await wait_status(session, ready_url, 200)
            async with send_request(session, ports, "/b/x") as missing:
                assert missing.status == 404
            path.write_text(path.read_text() + "\n# changed\n")
            process.send_signal(signal.SIGHUP)
            async with send_request(session, ports) as response:
                process.send_signal(signal.SIGTERM)
                await wait_status(session, ready_url, 503)
                body = await response.read()
                assert body.count(b"data: w") == 20
            async with send_request(session, ports) as late:
                assert late.status == 200
                assert late.headers["Connection"] == "close"
                assert (await late.read()).count(b"data: w") == 20
            output, _ = await process.communicate()
            return process.returncode, output.decode()

    code, output = run_on_loop(check())
    assert code == 0
    lines = [json.loads(line) for line in output.splitlines()]
    events = [line["event"] for line in lines]
    assert "host h1 starts" in events
    assert "settings reloaded, changed: nothing" in events
    assert "host h1 stops" in events
    requests = [line for line in lines if line["event"] == "request"]
    assert [line["outcome"] for line in requests] == ["answered", "answered"]


def test_process_without_settings_names_the_missing_file(tmp_path):
    async def check():
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "aspenbridge.platform",
            env=os.environ | {"ASPENBRIDGE_BOOT": str(tmp_path / "none.toml")},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        return process.returncode, errors.decode()

    code, errors = run_on_loop(check())
    assert code == 2
    assert "none.toml" in errors


def test_metrics_port_is_the_port_in_the_deployment_file():
    role = tomllib.loads(SYSTEM_FILE.read_text())["roles"]["entry"]
    assert role["metrics"] == f"{_serve.METRICS_PORT}/metrics"
