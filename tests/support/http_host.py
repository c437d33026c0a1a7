"""Runs one host in this process that serves HTTP on loopback."""

from __future__ import annotations

import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs

from aspenbridge.clock import SystemClock
from aspenbridge.configuration import ConfigObject
from aspenbridge.demo._fleet import Fleet, configuration
from aspenbridge.host import HostCore, Ports
from aspenbridge.http import make_app
from aspenbridge.http._auth import key_digest
from aspenbridge.loop import listening_socket, run_on_loop
from aspenbridge.ports import PeerAddress
from aspenbridge.settings import ListenSettings, Settings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SALT = "ab12"
LISTEN = ListenSettings(
    max_body_bytes=20_000,
    max_file_bytes=100_000,
    max_item_bytes=2_000,
    read_timeout_s=0.3,
)


@attrs.frozen
class HttpHost:
    """A running host, and a client session for its HTTP address."""

    host: HostCore
    fleet: Fleet
    session: aiohttp.ClientSession
    url: str

    async def send(
        self, method: str, path: str, *, key: str | None = "ann.one", **options: Any
    ) -> tuple[int, Any]:
        headers = {"authorization": f"Bearer {key}"} if key else {}
        headers.update(options.pop("headers", {}))
        async with self.session.request(
            method, self.url + path, headers=headers, **options
        ) as response:
            body = await response.read()
            if "json" in response.content_type and "jsonl" not in response.content_type:
                return response.status, await response.json(content_type=None)
            return response.status, body


def customer(name: str, secret: str) -> ConfigObject:
    digest = key_digest(SALT, secret)
    return ConfigObject("customer", name, {"key_salt": SALT, "key_digest": digest})


async def _start(stack: AsyncExitStack, ports: dict[str, Any]) -> HttpHost:
    clock = SystemClock()
    fleet = Fleet(clock, random.Random(1))
    fleet.add_backends()
    host_ports = attrs.evolve(fleet.ports(), **ports) if ports else fleet.ports()
    assert isinstance(host_ports, Ports)
    peer = PeerAddress("127.0.0.1", 1)
    host = HostCore(Settings(listen=LISTEN), host_ports, peer)
    fleet.peers.handlers[peer] = host
    await stack.enter_async_context(host)
    customers = [customer("ann", "one"), customer("ben", "two")]
    accepted = await host.authority.accept("test", 0, [*configuration(), *customers])
    accepted.unwrap()
    await host.follower.refresh()
    sock = listening_socket("127.0.0.1", 0)
    stack.callback(sock.close)
    app = make_app(host)
    # Sanic would rewrite its own classes, once per process.
    app.config.TOUCHUP = False
    server = await app.create_server(sock=sock, return_asyncio_server=True)
    await server.startup()
    await server.start_serving()
    stack.callback(server.close)
    session = await stack.enter_async_context(aiohttp.ClientSession())
    url = f"http://127.0.0.1:{sock.getsockname()[1]}"
    return HttpHost(host, fleet, session, url)


def run_http(scenario: Callable[[HttpHost], Awaitable[Any]], **ports: Any) -> Any:
    """
    Run a scenario against a host that listens on loopback.

    :param ports: ports of the host that replace those of the demo's fleet.
    :return: what the scenario returns.
    """
    results = []

    async def main() -> int:
        async with AsyncExitStack() as stack:
            results.append(await scenario(await _start(stack, ports)))
        return 0

    run_on_loop(main())
    return results[0]
