"""Protocols for calls to backend servers: model engines and plain services."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator


ADAPTER_SEPARATOR = "#"


@attrs.frozen
class Engine:
    """A model engine as the configuration describes it."""

    name: str
    address: str
    region: str
    failure_domain: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    fenced_orders: bool = False
    max_sequences: int = 32
    labels: dict[str, str] = attrs.field(factory=dict)

    def served_name(self, adapter: str | None) -> str:
        """
        Return the name under which a result records what produced it.

        :return: ``model@version``, or ``model@version#adapter``.
        """
        version = f"{self.model}@{self.version}"
        return version if adapter is None else f"{version}{ADAPTER_SEPARATOR}{adapter}"


@attrs.frozen
class Generate:
    """
    One attempt to generate text; each attempt has an id of its own.

    ``resume_text`` is the text that earlier attempts have generated, and
    ``resume_tokens`` its length in tokens; the engine continues after it.
    """

    attempt_id: str
    prompt: str
    max_tokens: int
    adapter: str | None = None
    resume_text: str = ""
    resume_tokens: int = 0


@attrs.frozen
class GeneratedChunk:
    """
    Text of one or more tokens; the last chunk has the finish reason.

    ``cached_tokens`` counts prompt tokens found in the engine's prefix cache.
    """

    text: str
    tokens: int
    finish_reason: str | None = None
    cached_tokens: int = 0


class CallOutcome(Enum):
    """
    How far a failed call got.

    Nothing of a ``NOT_SENT`` call was sent, and the server declined to run a
    ``REFUSED`` call. A ``BROKEN`` call may have run, in part or in whole. The
    deadline of an ``EXPIRED`` call passed before anything of it was sent;
    that tells nothing of the server.
    """

    NOT_SENT = "not sent"
    REFUSED = "refused"
    BROKEN = "broken"
    EXPIRED = "expired"


class EngineFailure(Exception):
    """A call to an engine failed before it completed."""

    def __init__(self, engine: str, outcome: CallOutcome, reason: str) -> None:
        super().__init__(f"engine {engine!r} failed: {reason}")
        self.engine = engine
        self.outcome = outcome
        self.reason = reason


@attrs.frozen
class EngineLoad:
    """
    The load that an engine last reported; it may be out of date.

    ``step_s`` is the duration of one decoding step.
    """

    running: int
    waiting: int
    kv_used_tokens: int
    kv_limit_tokens: int
    step_s: float


@attrs.frozen
class EngineOrder:
    """An order to load, unload or change role, with its fencing token."""

    kind: str
    target: str
    fence: int


class EngineClient(Protocol):
    """Sends calls to model engines."""

    def generate(
        self, engine: Engine, call: Generate
    ) -> AsyncGenerator[GeneratedChunk, None]:
        """
        Run one generation and yield its chunks as they arrive.

        :raises EngineFailure: if the generation is refused or interrupted.
        """

    async def cancel(self, engine: Engine, attempt_id: str) -> None:
        """Stop a generation; does nothing if it is not running."""

    async def load(self, engine: Engine) -> EngineLoad:
        """
        Return the last load report of an engine.

        :raises EngineFailure: if the engine does not answer.
        """

    async def order(self, engine: Engine, order: EngineOrder) -> bool:
        """
        Send an order; return False if its fencing token is out of date.

        :raises EngineFailure: if the engine does not answer.
        """


@attrs.frozen
class ServiceCall:
    """One call to a plain service; ``call_id`` is sent with it."""

    address: str
    method: str
    path: str
    body: bytes
    call_id: str
    headers: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class ServiceReply:
    """The complete reply of a plain service."""

    status: int
    body: bytes
    content_type: str


class ServiceFailure(Exception):
    """A plain service did not send a complete reply."""

    def __init__(self, address: str, outcome: CallOutcome, reason: str) -> None:
        super().__init__(f"service at {address} failed: {reason}")
        self.outcome = outcome
        self.reason = reason


class ServiceClient(Protocol):
    """Sends calls to plain services."""

    async def call(self, call: ServiceCall, deadline_s: float) -> ServiceReply:
        """
        Send a call once, without retries.

        :param deadline_s: when to stop waiting, in seconds of ``Clock.now_s``.
        :raises ServiceFailure: if there is no complete reply by the deadline;
            its outcome tells whether the call may have run.
        """
