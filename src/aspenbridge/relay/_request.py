"""A caller's request, the way back to it, and what has become of it so far."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from aspenbridge.fleet import Refused, Route
    from aspenbridge.ports import AnswerHead, Headers, RelayedCall
    from aspenbridge.result_codes import Problem

    from ._events import EventSplitter


@attrs.frozen
class CallerRequest:
    """A request as its caller sent it, read whole."""

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    received_s: float
    deadline_s: float
    resume_after: int | None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class Reply(Protocol):
    """The way back to the caller."""

    async def begin(self, head: AnswerHead) -> None:
        """Send status and headers."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the body."""

    def abort(self) -> None:
        """End the connection, so that the answer does not look complete."""

    async def refuse(self, problem: Problem) -> None:
        """Answer with a failure of this system's own."""


@attrs.define
class Progress:
    """What has become of one request so far."""

    call: RelayedCall
    route: Route
    reply: Reply
    events: EventSplitter
    received_s: float
    status: int | None = None  # of the engine's answer, once it was begun
    sends: int = 0
    may_have_run: bool = False
    tried: set[str] = attrs.field(factory=set)
    engine: str = ""
    queue: tuple[int, int] = (0, 0)  # online and batch found on that engine
    first_event_s: float | None = None
    refused: Refused | None = None

    @property
    def begun(self) -> bool:
        """Whether the caller has the head of an answer."""
        return self.status is not None

    async def begin(self, head: AnswerHead) -> None:
        """Pass on the head of an engine's answer."""
        self.status = head.status
        await self.reply.begin(head)

    @property
    def may_send_again(self) -> bool:
        """Whether the route allows one more engine."""
        if self.may_have_run and not self.route.repeatable:
            return False
        return self.sends < self.route.max_engines

    @property
    def may_move(self) -> bool:
        """Whether a send under way may be given up for another engine."""
        return self.route.repeatable and self.sends + 1 < self.route.max_engines
