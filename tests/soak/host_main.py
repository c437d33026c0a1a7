"""
Runs the program of a host, with one of its guards removed if one is named.

A run without a guard shows that the soak finds the fault that the guard
prevents.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure

from aspenbridge import client_connections
from aspenbridge.entry import _copies
from aspenbridge.fleet import EngineDirectory
from aspenbridge.jobs import _repository
from aspenbridge.platform import _engine_calls, _ingress, _store
from aspenbridge.platform.__main__ import run
from aspenbridge.ports import AnswerHead, AttemptError, CallOutcome
from aspenbridge.quarantine._ledger import CrashLedger
from aspenbridge.relay import _events, _reading, _request
from aspenbridge.relay._failover import Failover
from aspenbridge.relay._placement import OnlinePlacement
from aspenbridge.store import Changes, Stored


def _without_write_condition() -> None:
    class Unconditional(Changes):
        def unchanged(self, stored: object) -> Changes:
            return self

    _repository.Changes = Unconditional  # type: ignore[misc]


def _without_claim_check() -> None:
    async def claim(self: _repository.JobRepository, stored: Stored[Any]) -> Any:
        head = attrs.evolve(stored.record, owner=self._incarnation)
        changes = Changes().put(stored.key, head)
        until_s = self._clock.now_s() + _repository.COMMIT_LIMIT_S
        committed = await self._store.commit(changes, deadline_s=until_s)
        if isinstance(committed, Failure):
            return None
        version = committed.unwrap().versions[stored.key]
        return Stored(stored.key, head, version)

    _repository.JobRepository.claim = claim  # type: ignore[method-assign]


def _without_attempt_id() -> None:
    original = _engine_calls._check_response

    def accept_any_id(response: object, request_id: str) -> object:
        own_id = response.headers.get(  # type: ignore[attr-defined]
            "X-Aspenbridge-Attempt-Id", ""
        )
        return original(response, own_id)  # type: ignore[arg-type]

    _engine_calls._check_response = accept_any_id  # type: ignore[assignment]


def _without_revision_order() -> None:
    original = _copies.ConfigurationCopy._apply

    def apply_any_revision(self: _copies.ConfigurationCopy, value: bytes) -> None:
        self.current = None
        original(self, value)

    _copies.ConfigurationCopy._apply = apply_any_revision  # type: ignore[method-assign]


def _without_drain() -> None:
    def all_usable(self: EngineDirectory) -> list[object]:
        return list(self._entries.values())

    EngineDirectory.all_usable = all_usable  # type: ignore[assignment]


def _without_at_most_once() -> None:
    def may_send_again(self: _request.Progress) -> bool:
        return self.failed_sends < 3

    _request.Progress.may_send_again = property(  # type: ignore[assignment]
        may_send_again
    )


def _without_crash_memory() -> None:
    def record(self: CrashLedger, key: str, crash: object) -> None:
        return None

    CrashLedger.record = record  # type: ignore[assignment,method-assign]


def _without_reset_check() -> None:
    client_connections.pending_error = lambda transport: None  # type: ignore[assignment]


def _without_empty_answer_check() -> None:
    AnswerHead.needs_body = property(lambda head: False)  # type: ignore[assignment]


def _without_patience() -> None:
    original: Any = Failover._part

    async def part(
        self: Failover, progress: Any, attempt: Any, part: Any, silence_limit_s: float
    ) -> Any:
        if progress.may_switch_engine:
            await asyncio.wait({part}, timeout=silence_limit_s)
            if not part.done():
                part.cancel()
                raise AttemptError(CallOutcome.BROKEN, "engine is silent")
        return await original(self, progress, attempt, part, silence_limit_s)

    Failover._part = part  # type: ignore[method-assign]


def _without_callers_drain() -> None:
    async def drain(self: _ingress.Ingress, timeout_s: float) -> bool:
        return True

    _ingress.Ingress.drain = drain  # type: ignore[method-assign]


def _without_leaving_marks() -> None:
    EngineDirectory.mark_leaving = lambda *_: False  # type: ignore[method-assign]


def _without_overhead_limit() -> None:
    connection = client_connections.ClientConnection
    connection._check_overhead = lambda self: None  # type: ignore[method-assign]


def _without_lost_writes() -> None:
    _store.NOT_APPLIED_STATUSES = (502, 503, 429)


def _without_number_checks() -> None:
    _ingress.whole_number = lambda name, text: int(text)
    _ingress.duration_s = lambda name, text: float(text) / 1000


def _without_asking_again() -> None:
    OnlinePlacement.place_among = lambda *_: None  # type: ignore[method-assign]


def _without_size_limits() -> None:
    _events.MAX_EVENT_BYTES = _reading.MAX_WHOLE_BODY_BYTES = sys.maxsize


GUARDS: dict[str, Callable[[], None]] = {
    "write condition": _without_write_condition,
    "claim check": _without_claim_check,
    "attempt id": _without_attempt_id,
    "revision order": _without_revision_order,
    "drain": _without_drain,
    "at most once": _without_at_most_once,
    "crash memory": _without_crash_memory,
    "reset check": _without_reset_check,
    "empty answers": _without_empty_answer_check,
    "patience": _without_patience,
    "leaving marks": _without_leaving_marks,
    "overhead limit": _without_overhead_limit,
    "number checks": _without_number_checks,
    "asking again": _without_asking_again,
    "lost writes": _without_lost_writes,
    "size limits": _without_size_limits,
    "callers' drain": _without_callers_drain,
}


if __name__ == "__main__":
    if sys.argv[1]:
        GUARDS[sys.argv[1]]()
    sys.exit(run())
