"""Runs an entry host as a process: settings, signals, start and shutdown."""

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
from aspenbridge.loop import return_large_blocks, tune_garbage_collector
from aspenbridge.observability import log_decision

from . import _names as names
from ._connections import open_engine_session, open_store_session
from ._decode import decode_configuration, decode_engine
from ._engine_calls import HttpEngineCaller
from ._ingress import Ingress
from ._reload import SettingsWatcher, read_file_version
from ._settings import load_entry_settings, settings_path
from ._stop_signal import STOP_SIGNALS, StopSignal
from ._store import StoreClient

if TYPE_CHECKING:
    from aspenbridge.entry import EntrySettings

logger = logging.getLogger(__name__)
EXIT_TASK_DIED = 5
METRICS_PORT = 9464  # as in deploy/system.toml
# The load balancer probes readiness once a second and acts on the second
# answer that reports a change.
READINESS_NOTICE_S = 2.6
# Time for closing connections before the platform kills the process.
EXIT_MARGIN_S = 0.5


async def serve_entry() -> int:
    """
    Run one entry host until SIGTERM, SIGINT or the failure of a task.

    SIGHUP reloads the settings.

    :return: the exit code of the process; not 0 when a task has failed.
    :raises SettingsError: when the settings are missing or invalid.
    """
    stop_signal, reloading = StopSignal(SystemClock()), asyncio.Event()
    stop_signal.watch()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reloading.set)
    path = settings_path()
    # Taken before the settings, so that no change after them is missed.
    file_version = read_file_version(path)
    settings = load_entry_settings(path)
    logger.info("host %s starts", settings.host)
    if not return_large_blocks():
        logger.warning("the allocator may keep large blocks that are free")
    async with AsyncExitStack() as stack:
        host, ingress, store = await _start_host(stack, settings)
        watcher = SettingsWatcher(
            path,
            file_version,
            settings,
            reloading,
            lambda new_settings: store.set_address(str(new_settings.store)),
        )
        host.start(watcher.run())
        tune_garbage_collector()
        logger.info("host %s listens on %s", settings.host, settings.callers)
        await _wait_for_stop(stop_signal.arrived, host)
        logger.info("host %s stops", settings.host)
        await _shut_down(host, ingress, settings, stop_signal.arrived_s)
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        # A signal between the end of the loop and of the process would
        # otherwise make a clean stop look like a crash.
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    return EXIT_TASK_DIED if host.task_died.is_set() else 0


async def _start_host(
    stack: AsyncExitStack, settings: EntrySettings
) -> tuple[EntryHost, Ingress, StoreClient]:
    clock = SystemClock()
    store_session = await stack.enter_async_context(open_store_session())
    engine_session = await stack.enter_async_context(open_engine_session())
    store = StoreClient(
        store_session, str(settings.store), settings.store_limits.object_bytes
    )
    ports = EntryPorts(
        clock=clock,
        random=random.SystemRandom(),
        table=store,
        feed=store,
        objects=store,
        engine_caller=HttpEngineCaller(engine_session, clock),
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


async def _wait_for_stop(stopping: asyncio.Event, host: EntryHost) -> None:
    waiters = [
        asyncio.create_task(event.wait()) for event in (stopping, host.task_died)
    ]
    await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    for task in waiters:
        task.cancel()


async def _shut_down(
    host: EntryHost, ingress: Ingress, settings: EntrySettings, asked_s: float | None
) -> None:
    """
    Shut down after the running requests have ended, if they do so in time.

    First the host reports that it is not ready and serves what still arrives.
    Then it refuses requests, so that each one that it has accepted has most of
    the shutdown's time limit. Its jobs are released meanwhile, however long
    the store takes.

    :param asked_s: when the platform asked for it; None for now.
    """
    clock = host.ports.clock
    host.leaving = True
    begun_s = clock.now_s() if asked_s is None else asked_s
    log_decision(
        "stop begins",
        signal=asked_s is not None,
        late_ms=round((clock.now_s() - begun_s) * 1000),
    )
    shutdown_deadline_s = begun_s + settings.bounds.shutdown_s - EXIT_MARGIN_S
    ingress.refuse_from_s = begun_s + READINESS_NOTICE_S
    releasing = asyncio.create_task(host.release_jobs())
    await clock.sleep_until(ingress.refuse_from_s)
    await ingress.drain(shutdown_deadline_s - clock.now_s())
    await releasing
    await host.leave()
