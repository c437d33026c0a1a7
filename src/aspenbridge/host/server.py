"""A host as a process: sockets, signals and the real ports."""

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
from aspenbridge.clock import SystemClock
from aspenbridge.http import make_app
from aspenbridge.loop import listening_socket, tune_garbage_collector
from aspenbridge.peers.transport import HttpPeers, PeerServer
from aspenbridge.ports import PeerAddress
from aspenbridge.telemetry.setup import open_telemetry

from ._core import HostCore
from ._ports import Ports

if TYPE_CHECKING:
    import aiohttp

    from aspenbridge.settings import Settings

logger = logging.getLogger(__name__)
EXIT_FAULT = 5


async def serve(settings: Settings) -> int:
    """
    Run one host until it is told to stop.

    :param settings: the settings of the host.
    :return: the exit code of the process; not 0 after the death of a task.
    :raises StartError: when the platform can't be reached.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(open_session())
        peer = PeerAddress(settings.listen.ip, settings.listen.peer_port)
        clock = SystemClock()
        transport = HttpPeers(session, clock)
        telemetry = open_telemetry(stack, settings, session, clock)
        ports = telemetry.instrument(_ports(settings, session, clock, transport))
        host = HostCore(settings, ports, peer)
        await stack.enter_async_context(PeerServer(host, peer))
        await stack.enter_async_context(host)
        if telemetry.sender is not None:
            host.supervisor.start(telemetry.sender.run())
            stack.push_async_callback(telemetry.sender.flush)
        await _listen(stack, host)
        tune_garbage_collector()
        logger.info("host %s listens", settings.host.name)
        faulty = await _stopped_or_faulty(stopping, host)
        if not await host.drain():
            logger.warning("%d requests were cut", host.running.count)
    return EXIT_FAULT if faulty else 0


async def _stopped_or_faulty(stopping: asyncio.Event, host: HostCore) -> bool:
    """Wait for a signal or the death of a task; tell whether one died."""
    waits = [
        asyncio.create_task(event.wait()) for event in (stopping, host.supervisor.fault)
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in waits:
        task.cancel()
    return host.supervisor.fault.is_set()


def _ports(
    settings: Settings,
    session: aiohttp.ClientSession,
    clock: SystemClock,
    transport: HttpPeers,
) -> Ports:
    platform = settings.platform
    limit_s = platform.call_timeout_s
    return Ports(
        clock=clock,
        random=random.SystemRandom(),
        table=HttpTable(session, platform.table, limit_s),
        objects=HttpObjects(session, platform.objects, limit_s),
        host_list=HttpHostList(session, platform.host_list, limit_s),
        peers=transport,
        engines=HttpEngines(session),
        services=HttpServices(session, clock),
    )


async def _listen(stack: AsyncExitStack, host: HostCore) -> None:
    listen = host.settings.listen
    app = make_app(host)
    sock = listening_socket(listen.ip, listen.http_port)
    stack.callback(sock.close)
    server = await app.create_server(sock=sock, return_asyncio_server=True)
    if server is None:
        raise RuntimeError("sanic made no server")
    await server.startup()  # type: ignore[no-untyped-call]
    await server.start_serving()  # type: ignore[no-untyped-call]
    stack.callback(server.close)


__all__ = ["serve"]
