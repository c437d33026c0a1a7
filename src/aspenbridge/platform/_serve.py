"""An entry host as a process: sockets, signals and the platform's calls."""

from __future__ import annotations

import asyncio
import logging
import random
import signal
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from aspenbridge.clock import SystemClock
from aspenbridge.entry import Address, EntryHost, EntryPorts, OperatorTables
from aspenbridge.fleet import UdpDatagrams
from aspenbridge.loop import settle_garbage_collector

from . import _names as names
from ._connections import open_engine_session, open_store_session
from ._decode import decode_configuration, decode_engine
from ._engine_calls import HttpEngineCaller
from ._ingress import Ingress
from ._reload import SettingsWatch
from ._settings import load_entry_settings, settings_path
from ._store import StoreClient

if TYPE_CHECKING:
    from aspenbridge.entry import EntrySettings

logger = logging.getLogger(__name__)
EXIT_FAULT = 5
METRICS_PORT = 9464  # as in deploy/system.toml
NOTICE_S = 2.6  # the balancer asks once a second and believes the second answer
EXIT_MARGIN_S = 0.5  # to close what is open before the platform kills


async def serve_entry() -> int:
    """
    Run one entry host until it is told to stop.

    :return: the exit code of the process; not 0 after the death of a task.
    :raises SettingsError: when the settings can't be read.
    """
    path = settings_path()
    settings = load_entry_settings(path)
    stopping, reloading = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reloading.set)
    logger.info("host %s starts", settings.host)
    async with AsyncExitStack() as stack:
        host, ingress, store = await _open(stack, settings)
        watch = SettingsWatch(
            path, settings, reloading, lambda new: store.move_to(str(new.store))
        )
        host.start(watch.run())
        settle_garbage_collector()
        logger.info("host %s listens on %s", settings.host, settings.callers)
        await _stopped_or_faulty(stopping, host)
        logger.info("host %s stops", settings.host)
        await _leave(host, ingress, settings)
    return EXIT_FAULT if host.fault.is_set() else 0


async def _open(
    stack: AsyncExitStack, settings: EntrySettings
) -> tuple[EntryHost, Ingress, StoreClient]:
    clock = SystemClock()
    store_session = await stack.enter_async_context(open_store_session())
    engine_session = await stack.enter_async_context(open_engine_session())
    store = StoreClient(store_session, str(settings.store))
    ports = EntryPorts(
        clock=clock,
        random=random.SystemRandom(),
        table=store,
        feed=store,
        objects=store,
        caller=HttpEngineCaller(engine_session, clock),
        datagrams=UdpDatagrams(),
        tables=OperatorTables(
            configuration_table=names.OPERATOR_TABLE,
            configuration_key=names.CONFIGURATION_KEY,
            engines_table=names.ENGINES_TABLE,
            decode_configuration=decode_configuration,
            decode_engine=decode_engine,
        ),
    )
    host = EntryHost(settings, ports)
    metrics = Address(settings.ip, METRICS_PORT)
    ingress = Ingress(host, settings.callers, settings.readiness, metrics)
    await stack.enter_async_context(host)
    await stack.enter_async_context(ingress)
    return host, ingress, store


async def _stopped_or_faulty(stopping: asyncio.Event, host: EntryHost) -> None:
    waits = [asyncio.create_task(e.wait()) for e in (stopping, host.fault)]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in waits:
        task.cancel()


async def _leave(host: EntryHost, ingress: Ingress, settings: EntrySettings) -> None:
    """Be not ready first, serve what still comes, end when nothing does."""
    clock = host.ports.clock
    end_s = clock.now_s() + settings.bounds.shutdown_s - EXIT_MARGIN_S
    host.leaving = True
    notice = asyncio.create_task(clock.sleep_until(clock.now_s() + NOTICE_S))
    await host.hand_over()
    await notice
    if not await ingress.finish(end_s - clock.now_s()):
        logger.warning("%d requests were cut", ingress.running)
