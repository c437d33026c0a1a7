"""Wraps the ports of one host so that it can be paused, cut off or lost."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure

from aspenbridge.ports import (
    CallOutcome,
    PeerUnreachableError,
    ServiceFailure,
    Unavailable,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from aspenbridge.ports import (
        Clock,
        Engine,
        EngineClient,
        Generate,
        PeerAddress,
        ServiceCall,
        ServiceReply,
    )

SERVICE_DELAY_S = 0.05


@attrs.define(eq=False)
class Gate:
    """
    The faults of one host; all calls to and from the host wait here.

    :ivar running: set unless the host is paused.
    :ivar lost_event: set once the host is lost.
    :ivar closing: whether calls that reach the gate are cancelled, at the end
        of a test.
    :ivar store_cut: whether the table and the objects are unreachable.
    :ivar lose_reply_to: the table of which the next commit's reply is lost.
    :ivar undisturbed_since_s: when the host's last fault ended.
    :ivar resumed_s: when the host was last resumed from a pause.
    """

    name: str
    clock: Clock
    running: asyncio.Event = attrs.field(factory=asyncio.Event)
    lost_event: asyncio.Event = attrs.field(factory=asyncio.Event)
    closing: bool = False
    store_cut: bool = False
    lose_reply_to: str = ""
    undisturbed_since_s: float = 0.0
    resumed_s: float = -math.inf

    def __attrs_post_init__(self) -> None:
        self.running.set()

    @property
    def lost(self) -> bool:
        return self.lost_event.is_set()

    @property
    def undisturbed(self) -> bool:
        return self.running.is_set() and not self.lost and not self.store_cut

    def pause(self) -> None:
        self.running.clear()

    def resume(self) -> None:
        if not self.running.is_set():
            self.running.set()
            self.resumed_s = self.undisturbed_since_s = self.clock.now_s()

    def cut_store(self, *, cut: bool) -> None:
        self.store_cut = cut
        self.undisturbed_since_s = self.clock.now_s()

    async def wait_until_running(self) -> None:
        """Wait while the host is paused, and forever once it is lost."""
        while True:
            if self.closing:
                raise asyncio.CancelledError
            if self.lost:
                await asyncio.Event().wait()
            if self.running.is_set():
                return
            await self.running.wait()


class HostClock:
    """The clock of one host; its timers end late while it is paused."""

    def __init__(self, gate: Gate, clock: Clock) -> None:
        self._gate = gate
        self._clock = clock

    def now_s(self) -> float:
        return self._clock.now_s()

    def wall_s(self) -> float:
        return self._clock.wall_s()

    async def sleep_until(self, deadline_s: float) -> None:
        await self._clock.sleep_until(deadline_s)
        await self._gate.wait_until_running()


class HostStore:
    """The table service or the object store, called by one host."""

    def __init__(self, gate: Gate, store: Any) -> None:
        self._gate = gate
        self._store = store

    def __getattr__(self, name: str) -> Any:
        operation = getattr(self._store, name)

        async def call(*values: Any, **options: Any) -> Any:
            await self._gate.wait_until_running()
            if self._gate.store_cut:
                result = Failure(Unavailable("no route", maybe_applied=False))
            else:
                result = await operation(*values, **options)
            if self._consume_reply_loss(values) and not isinstance(result, Failure):
                result = Failure(Unavailable("the reply was lost", maybe_applied=True))
            await self._gate.wait_until_running()
            return result

        return call

    def _consume_reply_loss(self, values: tuple[Any, ...]) -> bool:
        """
        Return whether the reply to this call is lost.

        It is if the call writes to the table ``lose_reply_to``, which is then
        reset, or if the store was cut off during the call.
        """
        gate = self._gate
        puts = getattr(values[0], "puts", ()) if values else ()
        if any(put.key.table == gate.lose_reply_to for put in puts):
            gate.lose_reply_to = ""
            return True
        return gate.store_cut


@attrs.frozen
class EngineRun:
    """One generation that an engine started."""

    started_s: float
    gate: Gate
    engine: Engine
    prompt: str


class HostEngines:
    """The engines, called by one host; records the started generations."""

    def __init__(self, gate: Gate, engines: EngineClient, runs: list[EngineRun]):
        self._gate = gate
        self._engines = engines
        self._runs = runs
        self._open: dict[str, Engine] = {}

    async def generate(self, engine: Engine, call: Generate) -> AsyncGenerator:
        await self._gate.wait_until_running()
        now_s = self._gate.clock.now_s()
        self._runs.append(EngineRun(now_s, self._gate, engine, call.prompt))
        self._open[call.attempt_id] = engine
        try:
            async for chunk in self._engines.generate(engine, call):
                await self._gate.wait_until_running()
                yield chunk
        finally:
            self._open.pop(call.attempt_id, None)

    async def cancel(self, engine: Engine, attempt_id: str) -> None:
        await self._gate.wait_until_running()
        await self._engines.cancel(engine, attempt_id)

    async def disconnect(self) -> None:
        """End every stream, as the system closes a lost host's connections."""
        for attempt_id, engine in tuple(self._open.items()):
            await self._engines.cancel(engine, attempt_id)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._engines, name)


@attrs.define
class ServiceFaults:
    """The faults of the connections to the service."""

    refuse: bool = False
    break_before: bool = False  # before the service has run the call
    break_after: bool = False  # after the service has run the call


class HostServices:
    """The services, called by one host."""

    def __init__(self, gate: Gate, services: Any, faults: ServiceFaults) -> None:
        self._gate = gate
        self._services = services
        self._faults = faults

    async def call(self, call: ServiceCall, deadline_s: float) -> ServiceReply:
        await self._gate.wait_until_running()
        faults = self._faults
        if faults.refuse:
            raise ServiceFailure(call.address, CallOutcome.NOT_SENT, "refused")
        await asyncio.sleep(SERVICE_DELAY_S)
        if faults.break_before:
            raise await self._broken(call)
        reply: ServiceReply = await self._services.call(call, deadline_s)
        await asyncio.sleep(SERVICE_DELAY_S)
        if faults.break_after:
            raise await self._broken(call)
        await self._gate.wait_until_running()
        return reply

    async def _broken(self, call: ServiceCall) -> ServiceFailure:
        await self._gate.wait_until_running()
        return ServiceFailure(call.address, CallOutcome.BROKEN, "connection lost")


class Network:
    """
    Delivers messages between hosts.

    :ivar cuts: the pairs of names of hosts that don't reach each other.
    """

    def __init__(self, clock: Clock, uncaught: list[str]) -> None:
        self._clock = clock
        self._uncaught = uncaught
        self.hosts: dict[PeerAddress, tuple[Gate, Any]] = {}
        self.cuts: set[frozenset[str]] = set()

    async def deliver(
        self, sender: Gate, address: PeerAddress, message: Any, deadline_s: float
    ) -> Any:
        """
        Deliver a message to a host and return the reply.

        :raises PeerUnreachableError: if no reply arrives before the deadline.
        """
        gate, handler = self.hosts.get(address, (None, None))
        if gate is None or gate.lost:
            raise PeerUnreachableError(address, "refused", sent=False)
        task = asyncio.ensure_future(self._handle(sender, gate, handler, message))
        remaining_s = max(0.0, deadline_s - self._clock.now_s())
        done, _ = await asyncio.wait({task}, timeout=remaining_s)
        if not done:
            raise PeerUnreachableError(address, "no answer in time", sent=True)
        error = task.exception()
        if error is not None:
            self._uncaught.append(f"{type(message).__name__}: {error!r}")
            raise PeerUnreachableError(address, "the handler failed", sent=True)
        return task.result()

    async def _handle(self, sender: Gate, gate: Gate, handler: Any, message: Any):
        if frozenset((sender.name, gate.name)) in self.cuts:
            await asyncio.Event().wait()
        await gate.wait_until_running()
        reply = await handler.handle(message)
        await gate.wait_until_running()
        if frozenset((sender.name, gate.name)) in self.cuts:
            await asyncio.Event().wait()
        return reply


class HostPeers:
    """The other hosts, called by one host."""

    def __init__(self, gate: Gate, network: Network) -> None:
        self._gate = gate
        self._network = network

    async def call(self, address: PeerAddress, message: Any, deadline_s: float) -> Any:
        await self._gate.wait_until_running()
        try:
            return await self._network.deliver(self._gate, address, message, deadline_s)
        finally:
            await self._gate.wait_until_running()
