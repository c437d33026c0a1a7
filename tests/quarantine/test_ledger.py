from __future__ import annotations

import pytest

from aspenbridge.quarantine import QUARANTINE_CRASHES, request_fingerprint
from aspenbridge.quarantine._ledger import (
    MAX_SUSPECTS,
    RETENTION_S,
    TRIAL_DELAYS_S,
    Crash,
    CrashId,
    CrashLedger,
    Verdict,
    judge_engine,
)
from tests.support.entry_fleet import make_engine

SILENCE_LIMIT_S = 8.0


def crash(number, at_s=0.0, **options):
    return Crash(CrashId(f"e{number}", 1), at_s, **options)


def ledger_with(crashes, fingerprint="f"):
    ledger = CrashLedger()
    for number in range(crashes):
        ledger.record(fingerprint, crash(number, float(number)))
    return ledger


@pytest.mark.parametrize(
    "changed",
    [
        {"method": "PUT"},
        {"host": "b.example"},
        {"target": "/other"},
        {"body": b"other"},
    ],
)
def test_different_requests_have_different_fingerprints(changed):
    request = {"method": "POST", "host": "a.example", "target": "/p", "body": b"b"}
    assert request_fingerprint(**request) != request_fingerprint(**request | changed)


def test_query_tells_only_requests_without_a_body_apart():
    def fingerprint(query, body):
        return request_fingerprint("POST", "a.example", f"/p?{query}", body)

    assert fingerprint("1", b"b") == fingerprint("2", b"b")
    assert fingerprint("1", b"") != fingerprint("2", b"")


def test_request_with_fewer_crashes_is_not_held_back():
    ledger = ledger_with(QUARANTINE_CRASHES - 1)
    assert ledger.allowed_from_s("f") == float("-inf")
    assert "f" not in ledger.held()


def test_one_crash_that_several_hosts_saw_counts_once():
    ledger = ledger_with(0)
    for at_s in (0.0, 0.1, 0.2):
        ledger.record("f", crash(0, at_s))
    assert ledger.crash_count("f") == 1


def test_each_start_of_an_engine_is_a_crash_of_its_own():
    ledger = CrashLedger()
    for start in range(3):
        ledger.record("f", Crash(CrashId("e0", start), float(start)))
    assert ledger.crash_count("f") == 3


@pytest.mark.parametrize("crashes", [3, 4, 5])
def test_crashes_beyond_the_third_use_up_no_trial(crashes):
    ledger = ledger_with(crashes)
    assert ledger.allowed_from_s("f") == crashes - 1 + TRIAL_DELAYS_S[0]


def test_trials_without_a_result_are_limited_too():
    ledger = ledger_with(3)
    ledger.record_trial("f", 1, 20.0)
    assert ledger.allowed_from_s("f") == 20.0 + TRIAL_DELAYS_S[1]
    ledger.record_trial("f", 2, 60.0)
    assert ledger.allowed_from_s("f") == 60.0 + RETENTION_S


def test_trial_that_no_engine_began_may_be_made_again():
    ledger = ledger_with(3)
    allowed_s = ledger.allowed_from_s("f")
    ledger.record_trial("f", 1, 20.0)
    ledger.remove_trial("f", 1)
    assert ledger.allowed_from_s("f") == allowed_s
    assert ledger.next_trial("f") == 2


def test_trial_that_was_not_claimed_keeps_its_number():
    """Guards against two hosts that claim one trial under two numbers."""
    ledger = ledger_with(3)
    ledger.record_trial("f", 1, 20.0)
    ledger.withdraw_trial("f", 1)
    assert ledger.next_trial("f") == 1


def test_crash_before_a_clearing_does_not_count_when_it_is_reported_late():
    ledger = ledger_with(1)
    ledger.clear("f", 5.0)
    assert ledger.record("f", crash(7, 4.9)) is None
    assert not ledger.is_suspect("f")
    assert ledger.record("f", crash(8, 6.0)) is not None


def test_number_of_suspects_is_limited_and_quarantined_ones_stay():
    ledger = ledger_with(3, "quarantined")
    for number in range(MAX_SUSPECTS + 10):
        ledger.record(f"f{number}", crash(0, float(number)))
    assert len(ledger) == MAX_SUSPECTS
    assert "quarantined" in ledger.held()
    assert len(ledger.expire(0.0, 10.0)) == 11


# Hosts whose lists are stale number the crashes of one start differently.
def test_engine_that_answers_refutes_a_newer_crash_of_a_lower_number():
    ledger = CrashLedger()
    ledger.record("part-a", Crash(CrashId("e0", 1, 1), 10.0))
    ledger.record("part-b", Crash(CrashId("e0", 1, 0), 12.0))
    ledger.refute("e0", 1, 12.5)
    assert ledger.is_suspect("part-a")
    assert not ledger.is_suspect("part-b")


def test_old_crashes_expire():
    ledger = ledger_with(3)
    assert ledger.expire(RETENTION_S, 10.0) == []
    assert len(ledger.expire(RETENTION_S + 3, 10.0)) == 1
    assert not ledger.is_suspect("f")


@pytest.mark.parametrize(
    ("entry", "list_read_s", "verdict"),
    [
        (None, -1.0, Verdict.PENDING),
        (None, 1.0, Verdict.ENDED),
        (make_engine("e0", started_ms=2), 1.0, Verdict.ENDED),
        (make_engine("e0"), 1.0, Verdict.PENDING),
        (make_engine("e0", draining=True), 1.0, Verdict.ALIVE),
        (make_engine("e0"), SILENCE_LIMIT_S + 1, Verdict.ALIVE),
    ],
)
def test_engine_counts_as_ended_only_if_a_newer_list_says_so(
    entry, list_read_s, verdict
):
    judged = judge_engine(crash(0), entry, list_read_s, -1.0, SILENCE_LIMIT_S)
    assert judged is verdict


def test_engine_does_not_count_as_alive_by_a_list_from_before_an_outage():
    list_read_s = SILENCE_LIMIT_S + 1
    for followed_since_s in (0.5, list_read_s, float("inf")):
        judged = judge_engine(
            crash(0), make_engine("e0"), list_read_s, followed_since_s, SILENCE_LIMIT_S
        )
        assert judged is (Verdict.ALIVE if followed_since_s < 1 else Verdict.PENDING)


def test_engine_that_crashes_again_counts_again_though_the_list_is_old():
    ledger = CrashLedger()
    for at_s, number in ((0.0, 0), (0.4, 0), (3.0, 1), (6.0, 2)):
        crash_id = ledger.crash_id("e0", 1, at_s, list_current=False)
        assert crash_id == CrashId("e0", 1, number)
        ledger.record("f", Crash(crash_id, at_s))
    assert ledger.crash_count("f") == 3


def test_engine_that_is_still_down_does_not_count_again():
    ledger = CrashLedger()
    for at_s in (0.0, 2.0, 3.5):
        crash_id = ledger.crash_id("e0", 1, at_s, list_current=True)
        ledger.record("f", Crash(crash_id, at_s))
    assert ledger.crash_count("f") == 1
