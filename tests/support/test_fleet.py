"""The fakes that the proofs rest on do what they say."""

from __future__ import annotations

from returns.result import Failure

from tests.fuzz.history import History


def test_history_keeps_each_promise_when_nothing_fails() -> None:
    history = History(seed=1)
    first, second, third = history.fleet.usable()
    history.submit_coding(first)
    history.submit_booking(second)
    history.submit_job(third)
    history.submit_chat(first)
    history.change(first, second)
    history.advance(5.0)
    violations = history.finish()
    told = [send.response for send in history.oracle.sent_requests]
    history.close()
    assert violations == []
    assert told
    assert not any(isinstance(item, Failure) for item in told)


def test_host_does_nothing_more_when_it_is_lost() -> None:
    history = History(seed=1)
    first = history.fleet.usable()[0]
    history.submit_job(first)
    history.advance(0.5)
    history.fleet.kill(first)
    begun = len(history.fleet.runs)
    history.advance(30.0)
    later = [run for run in history.fleet.runs[begun:] if run.gate is first.gate]
    history.close()
    assert later == []


def test_host_goes_on_where_it_was_when_it_is_resumed() -> None:
    history = History(seed=1)
    first = history.fleet.usable()[0]
    first.gate.pause()
    history.submit_coding(first)
    history.advance(30.0)
    held = history.oracle.sent_requests[0].response
    first.gate.resume()
    history.advance(30.0)
    told = history.oracle.sent_requests[0].response
    history.close()
    assert held is None
    assert told is not None
