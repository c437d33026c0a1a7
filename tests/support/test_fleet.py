"""Checks the in-memory fleet of the fuzz tests: hosts run, stop and pause."""

from __future__ import annotations

from returns.result import Failure

from tests.fuzz.history import History


def test_no_violation_without_faults() -> None:
    history = History(seed=1)
    first, second, third = history.fleet.usable()
    history.submit_coding(first)
    history.submit_booking(second)
    history.submit_job(third)
    history.submit_chat(first)
    history.change(first, second)
    history.advance(5.0)
    violations = history.finish()
    responses = [request.response for request in history.oracle.sent_requests]
    history.close()
    assert violations == []
    assert responses
    assert not any(isinstance(item, Failure) for item in responses)


def test_lost_host_starts_no_generation() -> None:
    history = History(seed=1)
    first = history.fleet.usable()[0]
    history.submit_job(first)
    history.advance(0.5)
    history.fleet.kill(first)
    run_count = len(history.fleet.runs)
    history.advance(30.0)
    later_runs = [
        run for run in history.fleet.runs[run_count:] if run.gate is first.gate
    ]
    history.close()
    assert later_runs == []


def test_resumed_host_finishes_its_request() -> None:
    history = History(seed=1)
    first = history.fleet.usable()[0]
    first.gate.pause()
    history.submit_coding(first)
    history.advance(30.0)
    response_while_paused = history.oracle.sent_requests[0].response
    first.gate.resume()
    history.advance(30.0)
    response = history.oracle.sent_requests[0].response
    history.close()
    assert response_while_paused is None
    assert response is not None
