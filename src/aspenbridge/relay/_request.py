"""A caller's request, its state while it is served, and the response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from aspenbridge.limits import HeldMemory, MemoryBudget

from ._custody import Custody

if TYPE_CHECKING:
    from aspenbridge.fleet import Refused, Route
    from aspenbridge.ports import AnswerHead, Headers, RelayedCall
    from aspenbridge.quarantine import RunSubjects
    from aspenbridge.result_codes import Problem

    from ._events import EventSplitter


# Callers abandon a stream at the longest of these gaps without data.
ABANDONED_GAP_S = 2.0
ABANDONED_LATENCY_GOALS = 4
ABANDONED_GAP_GOALS = 8


@attrs.frozen
class CallerRequest:
    """A request as its caller sent it, with its whole body."""

    request_id: str
    method: str
    target: str  # path and query
    host: str  # as in the ``Host`` header
    headers: Headers
    body: bytes
    received_s: float
    deadline_s: float
    resume_after: int | None  # the id of the last event the caller has
    # Ids of the parts of the prompt that other requests may share, in order.
    prompt_parts: tuple[str, ...] = ()
    # What its body and answers that are not streams hold.
    memory: HeldMemory = attrs.field(
        factory=lambda: MemoryBudget().hold(), eq=False, repr=False
    )

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class ResponseWriter(Protocol):
    """Writes the response to one request of a caller."""

    async def begin(self, head: AnswerHead, length: int | None = None) -> None:
        """Send status and headers; ``length`` is the body's, if known."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the body."""

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""

    async def refuse(self, problem: Problem) -> None:
        """Answer with a problem of this system, not of an engine."""


@attrs.define
class Progress:
    """The state of one request while it is served."""

    call: RelayedCall
    route: Route
    service: str  # whose engines may run the request
    writer: ResponseWriter
    events: EventSplitter
    received_s: float
    subjects: RunSubjects  # what a crash of its engine may be blamed on
    memory: HeldMemory  # as in ``CallerRequest``
    custody: Custody = attrs.field(factory=Custody)
    prompt_parts: tuple[str, ...] = ()  # as in ``CallerRequest``
    status: int | None = None  # of the answer, once its head was sent on
    failed_sends: int = 0  # failed attempts that may have reached an engine
    lost_connections: int = 0  # those of them that ended with their connection
    may_have_run: bool = False  # whether an engine may have run the request
    tried: set[str] = attrs.field(factory=set)  # engines that failed the request
    # Those of them that may have run it; the others turned it away.
    broken_at: set[str] = attrs.field(factory=set)
    # Those that were left only for their silence; each may get it once more.
    left_silent: set[str] = attrs.field(factory=set)
    engine: str = ""  # the engine of the last attempt
    # Online requests and batch items on this engine just before the attempt.
    found_load: tuple[int, int] = (0, 0)
    answer: AnswerHead | None = None  # of the last attempt, if it came
    # A server error that an engine gave, with its body; it is passed on if no
    # other engine answers.
    failed_answer: tuple[AnswerHead, bytes] | None = None
    events_sent: int = 0  # of all attempts
    bytes_sent: int = 0
    first_event_s: float | None = None
    last_event_s: float | None = None  # when data were last sent to the caller
    place_wait_s: float = 0.0  # for a place, after an attempt that failed
    refused: Refused | None = None  # set when the request has failed
    problem: Problem | None = None  # what the caller was told in that case
    held: str | None = None  # the subject for which it was refused, if any

    @property
    def abandoned_s(self) -> float:
        """When the caller of a stream that gets no more data abandons it."""
        gap_s = max(
            ABANDONED_GAP_S,
            ABANDONED_LATENCY_GOALS * self.route.latency_goal_s,
            ABANDONED_GAP_GOALS * self.route.event_gap_goal_s,
        )
        return (self.last_event_s or self.received_s) + gap_s

    @property
    def begun(self) -> bool:
        """Whether the head of an answer was sent to the caller."""
        return self.status is not None

    def can_use(self, head: AnswerHead) -> bool:
        """
        Whether an answer can be passed on to the caller.

        Only events under the same status can follow those of a stream that has
        begun; the status has been sent.
        """
        if not self.begun:
            return True
        return head.brings_events and head.status == self.status

    async def begin(self, head: AnswerHead, length: int | None = None) -> None:
        """Send the head of an engine's answer to the caller."""
        self.status = head.status
        await self.writer.begin(head, length)

    async def refuse(self, problem: Problem) -> None:
        """Tell the caller that no answer comes, before one has begun."""
        self.problem = problem
        await self.writer.refuse(problem)

    async def send(self, data: bytes, events: int = 0) -> None:
        """Send a part of the body, which has so many events, to the caller."""
        self.events_sent += events
        self.bytes_sent += len(data)
        await self.writer.write(data)

    @property
    def may_send_again(self) -> bool:
        """
        Whether another attempt is allowed after a failed one.

        False when all attempts of the route are used and no engine was left
        for its silence, or when the request may have run and must not run
        twice.
        """
        if self.may_have_run and not self.route.repeatable:
            return False
        return self.new_engines_left > 0 or bool(self.left_silent)

    @property
    def new_engines_left(self) -> int:
        """
        Return how many engines more may get the request.

        The attempts of a route bound the number of engines. One that has had
        the request and was left for its silence may get it again.
        """
        return self.route.max_attempts - self.failed_sends

    @property
    def may_switch_engine(self) -> bool:
        """
        Whether the running attempt may be abandoned for another engine.

        The request must be repeatable, and another engine must be allowed when
        the running attempt counts as failed.
        """
        another = self.new_engines_left > 1 or bool(self.left_silent)
        return self.route.repeatable and another
