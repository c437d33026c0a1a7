"""Runs a host as a process: sockets, signals and ports over the network."""

from __future__ import annotations

import asyncio
import logging
import random
import signal
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from aspenbridge.backends import (
    HttpEngines,
    HttpHostList,
    HttpObjects,
    HttpServices,
    HttpTable,
    open_session,
)
from aspenbridge.bounded_requests import BoundedProtocol
from aspenbridge.clock import SystemClock
from aspenbridge.http import make_app
from aspenbridge.loop import (
    listening_socket,
    return_large_blocks,
    tune_garbage_collector,
)
from aspenbridge.peers.transport import HttpPeers, PeerServer
from aspenbridge.ports import PeerAddress
from aspenbridge.telemetry.setup import open_telemetry

from ._core import HostCore
from ._ports import Ports

if TYPE_CHECKING:
    import aiohttp

    from aspenbridge.settings import Settings

logger = logging.getLogger(__name__)
EXIT_TASK_DIED = 5


async def serve(settings: Settings) -> int:
    """
    Run one host until a signal stops it or a background task dies.

    :param settings: the settings of the host.
    :return: the exit code of the process; not 0 if a background task died.
    :raises StartError: if the host can't register or read the configuration.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    if not return_large_blocks():
        logger.warning("the allocator may keep large blocks that are free")
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(open_session())
        peer = PeerAddress(settings.listen.ip, settings.listen.peer_port)
        clock = SystemClock()
        transport = HttpPeers(session, clock)
        telemetry = open_telemetry(stack, settings, session, clock)
        ports = telemetry.instrument(
            _network_ports(settings, session, clock, transport)
        )
        host = HostCore(settings, ports, peer)
        await stack.enter_async_context(PeerServer(host, peer))
        await stack.enter_async_context(host)
        if telemetry.sender is not None:
            host.supervisor.start(telemetry.sender.run())
            stack.push_async_callback(telemetry.sender.flush)
        await _listen(stack, host)
        tune_garbage_collector()
        logger.info("host %s listens", settings.host.name)
        task_died = await _wait_for_stop(stopping, host)
        if not await host.drain():
            logger.warning("cancelling %d requests that still run", host.running.count)
    return EXIT_TASK_DIED if task_died else 0


async def _wait_for_stop(stopping: asyncio.Event, host: HostCore) -> bool:
    """Wait for a signal or a dead task; return whether a task died."""
    waits = [
        asyncio.create_task(event.wait())
        for event in (stopping, host.supervisor.task_died)
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in waits:
        task.cancel()
    return host.supervisor.task_died.is_set()


def _network_ports(
    settings: Settings,
    session: aiohttp.ClientSession,
    clock: SystemClock,
    transport: HttpPeers,
) -> Ports:
    platform = settings.platform
    timeout_s = platform.call_timeout_s
    return Ports(
        clock=clock,
        random=random.SystemRandom(),
        table=HttpTable(session, platform.table, timeout_s),
        objects=HttpObjects(session, platform.objects, timeout_s),
        host_list=HttpHostList(session, platform.host_list, timeout_s),
        peers=transport,
        engines=HttpEngines(session),
        services=HttpServices(session, clock),
    )


async def _listen(stack: AsyncExitStack, host: HostCore) -> None:
    listen = host.settings.listen
    app = make_app(host)
    sock = listening_socket(listen.ip, listen.http_port)
    stack.callback(sock.close)
    server = await app.create_server(
        sock=sock, protocol=BoundedProtocol, return_asyncio_server=True
    )
    if server is None:
        raise RuntimeError("sanic created no server for customers")
    await server.startup()  # type: ignore[no-untyped-call]
    await server.start_serving()  # type: ignore[no-untyped-call]
    stack.callback(server.close)


__all__ = ["serve"]
