"""Backend servers: model engines and plain services."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator


ADAPTER_MARK = "#"


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

    def serving(self, adapter: str | None) -> str:
        """Return the model version, and the adapter if one is used."""
        version = f"{self.model}@{self.version}"
        return version if adapter is None else f"{version}{ADAPTER_MARK}{adapter}"


@attrs.frozen
class Generate:
    """One generation, addressed by an id that no other attempt shares."""

    attempt_id: str
    prompt: str
    max_tokens: int
    adapter: str | None = None
    resume_text: str = ""
    resume_tokens: int = 0


@attrs.frozen
class GeneratedChunk:
    """Text of one or more tokens; the last one names its finish reason."""

    text: str
    tokens: int
    finish_reason: str | None = None
    cached_tokens: int = 0


class CallOutcome(Enum):
    """How much a failed call may have done."""

    NOT_SENT = "not sent"
    REFUSED = "refused"
    BROKEN = "broken"


class EngineFailure(Exception):
    """An engine refused a generation, or broke it off."""

    def __init__(self, engine: str, outcome: CallOutcome, reason: str) -> None:
        super().__init__(f"engine {engine!r} failed: {reason}")
        self.engine = engine
        self.outcome = outcome
        self.reason = reason


@attrs.frozen
class EngineLoad:
    """What an engine reports of itself, some time late."""

    running: int
    waiting: int
    kv_used_tokens: int
    kv_limit_tokens: int
    step_s: float


@attrs.frozen
class EngineOrder:
    """An order to load, unload or change role."""

    kind: str
    target: str
    fence: int


class EngineClient(Protocol):
    """Calls to model engines."""

    def generate(
        self, engine: Engine, call: Generate
    ) -> AsyncGenerator[GeneratedChunk, None]:
        """
        Run one generation and yield its chunks as they come.

        :raises EngineFailure: when it is refused or broken off.
        """

    async def cancel(self, engine: Engine, attempt_id: str) -> None:
        """Stop a generation; one that is not running is no error."""

    async def load(self, engine: Engine) -> EngineLoad:
        """
        Return the last load report.

        :raises EngineFailure: when the engine does not answer.
        """

    async def order(self, engine: Engine, order: EngineOrder) -> bool:
        """
        Give an order; return False when its fence is old.

        :raises EngineFailure: when the engine does not answer.
        """


@attrs.frozen
class ServiceCall:
    """One call to a plain service."""

    address: str
    method: str
    path: str
    body: bytes
    call_id: str
    headers: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class ServiceReply:
    """The whole reply of a plain service."""

    status: int
    body: bytes
    content_type: str


class ServiceFailure(Exception):
    """A plain service gave no whole reply."""

    def __init__(self, address: str, outcome: CallOutcome, reason: str) -> None:
        super().__init__(f"service at {address} failed: {reason}")
        self.outcome = outcome
        self.reason = reason


class ServiceClient(Protocol):
    """Calls to plain services."""

    async def call(self, call: ServiceCall, deadline_s: float) -> ServiceReply:
        """
        Make one call, once.

        :raises ServiceFailure: telling whether any byte went out.
        """
