"""Which suspects are held for crashes that several have in common."""

from __future__ import annotations

import pytest

from aspenbridge.quarantine._ledger import (
    PART_TRIAL_DELAYS_S,
    TRIAL_SPREAD_S,
    Crash,
    CrashId,
    CrashLedger,
)
from aspenbridge.quarantine._verdicts import (
    ALIKE_PART_CRASHES,
    CLEARED_PART_CRASHES,
    LEADING_PART_CRASHES,
    QUARANTINE_CRASHES,
)

F, G, P, X = "part-f", "part-g", "part-p", "part-x"


class Evidence:
    """A ledger to which crashes are added one by one, a second apart."""

    def __init__(self) -> None:
        self.ledger = CrashLedger()
        self.now_s = 0.0
        self.count = 0

    def crash(self, *runs, gap_s=1.0, confirmed=False):
        """Add a crash; each run names its request and its parts in order."""
        self.now_s += gap_s
        self.count += 1
        for request, *parts in runs:
            crash_id = CrashId(f"e{self.count}", 1)
            for place, key in enumerate((request, *parts)):
                crash = Crash(crash_id, self.now_s, confirmed=confirmed)
                crash.position = max(0, place - 1)
                crash.tag = hash(request) or 1
                self.ledger.record(key, crash)
        return self.parts

    @property
    def parts(self):
        return {key for key in self.ledger.held() if key.startswith("part-")}


def test_part_is_held_after_three_crashes_and_its_companions_are_not():
    evidence = Evidence()
    for number in range(QUARANTINE_CRASHES - 1):
        assert evidence.crash((f"r{number}", F, P, f"part-x{number}")) == set()
    assert evidence.crash(("r9", F, P, "part-x9")) == {P}


def test_part_that_always_stands_first_is_held_once_nothing_else_explains():
    evidence = Evidence()
    for number in range(LEADING_PART_CRASHES - 1):
        assert evidence.crash((f"r{number}", F, f"part-x{number}")) == set()
    assert evidence.crash(("r9", F, "part-x9")) == {F}


@pytest.mark.parametrize("crashes", [3, 4, 8])
def test_first_part_of_all_requests_is_not_held_while_another_explains(crashes):
    evidence = Evidence()
    for number in range(crashes):
        evidence.crash((f"r{number}", F, P), (f"s{number}", F))
    assert evidence.parts == {P}
    assert evidence.crash(("s", F)) == {P}  # one engine that crashes of itself


def test_first_part_gives_way_to_those_that_explain_its_crashes_later():
    evidence = Evidence()
    for number in range(2):
        evidence.crash((f"p{number}", "part-a", P), ("item", F))
        evidence.crash((f"g{number}", "part-c", G), ("item2", F))
    assert evidence.parts == {F}
    evidence.crash(("p9", "part-a", P), ("item", F))
    assert evidence.crash(("g9", "part-c", G), ("item", F)) == {P, G}


def test_resends_of_one_request_do_not_incriminate_its_parts():
    evidence = Evidence()
    for _ in range(QUARANTINE_CRASHES):
        assert evidence.crash(("r", F, P)) == set()
    assert "r" in evidence.ledger.held()
    assert evidence.crash(("other", F, P)) == {P}


def test_request_is_free_whose_crashes_a_held_part_explains():
    evidence = Evidence()
    for number in range(QUARANTINE_CRASHES):
        evidence.crash((f"r{number}", F, P), ("innocent", F, X))
    assert evidence.parts == {P}
    assert "innocent" not in evidence.ledger.held()


def test_parts_with_the_same_crashes_are_both_held():
    evidence = Evidence()
    for number in range(ALIKE_PART_CRASHES - 1):
        assert evidence.crash((f"r{number}", F, P, X)) == set()
    assert evidence.crash(("r9", F, P, X)) == {P, X}


def test_part_that_is_cleared_in_time_is_never_held_beside_one_like_it():
    evidence = Evidence()
    for number in range(QUARANTINE_CRASHES):
        evidence.crash((f"r{number}", F, P, X))
    evidence.ledger.clear(X, evidence.now_s)
    assert evidence.parts == {P}


def test_held_part_stays_so_when_evidence_comes_in_another_order():
    evidence = Evidence()
    for number in range(4):
        evidence.crash((f"r{number}", F, P, f"part-x{number % 2}"))
    assert evidence.parts == {P}
    crash = Crash(CrashId("e9", 1), evidence.now_s, position=2)
    for number in range(2):  # one part of the run is recorded before the other
        evidence.ledger.record(f"part-x{number}", crash)
        assert P in evidence.parts


def test_wrongly_held_part_is_free_once_another_explains_clearly_more():
    evidence = Evidence()
    for number in range(3):
        evidence.crash((f"r{number}", P, X))
    assert evidence.parts == {X}
    evidence.crash(("r4", P, "part-y1"))
    assert evidence.crash(("r5", P, "part-y2")) == {P}


def test_two_guilty_parts_are_both_held():
    evidence = Evidence()
    for number in range(QUARANTINE_CRASHES):
        evidence.crash((f"p{number}", F, P))
        evidence.crash((f"g{number}", F, G))
        evidence.ledger.clear(F, evidence.now_s)  # a sound request is answered
    assert evidence.parts == {P, G}


def test_connections_that_one_host_loses_together_are_one_crash_of_a_part():
    evidence = Evidence()
    for number in range(6):
        evidence.crash((f"r{number}", F, P), gap_s=0.002)
    assert evidence.parts == set()


def test_engines_that_ended_together_for_certain_are_several_crashes():
    evidence = Evidence()
    for number in range(QUARANTINE_CRASHES):
        evidence.crash((f"r{number}", F, P), gap_s=0.002, confirmed=True)
    assert evidence.parts == {P}


def test_part_that_has_just_proved_sound_is_held_later():
    evidence = Evidence()
    evidence.crash(("r", F, X))
    evidence.ledger.clear(X, evidence.now_s)
    for number in range(CLEARED_PART_CRASHES - 1):
        assert X not in evidence.crash((f"r{number}", f"part-f{number}", X))
    assert X in evidence.crash(("r9", "part-f9", X))


def test_clearing_leaves_the_crashes_that_came_after_it():
    evidence = Evidence()
    for number in range(3):
        evidence.crash((f"r{number}", F, P))
    evidence.ledger.clear(P, 1.5)
    assert evidence.ledger.crash_count(P) == 2


def test_trials_of_parts_are_apart_and_few():
    evidence = Evidence()
    for number in range(ALIKE_PART_CRASHES):
        evidence.crash((f"r{number}", F, P, X))
    ledger, began_s = evidence.ledger, []
    for number in range(1, len(PART_TRIAL_DELAYS_S) + 1):
        due_s = ledger.allowed_from_s(P)
        delay_s = due_s - max([evidence.now_s, *began_s])
        at_least_s = PART_TRIAL_DELAYS_S[number - 1]
        assert at_least_s <= delay_s <= at_least_s + TRIAL_SPREAD_S
        ledger.record_trial(P, number, due_s)
        began_s.append(due_s)
    assert ledger.allowed_from_s(P) - began_s[-1] > 23 * 3600
    assert ledger.allowed_from_s(X) != began_s[0]


def test_engine_that_answers_again_did_not_crash_under_a_part():
    """Guards against parts held for answers that engines broke off."""
    evidence = Evidence()
    for number in range(QUARANTINE_CRASHES):
        evidence.crash((f"r{number}", F, P), gap_s=0.1)
    assert evidence.parts == {P}
    ledger = evidence.ledger
    for number in range(1, 4):
        ledger.refute(f"e{number}", 1, evidence.now_s + 0.3)
    assert evidence.parts == set()
    again = Crash(CrashId("e3", 1), evidence.now_s + 0.05)
    assert ledger.record(P, again) is None  # another host tells of it later
    assert ledger.record(P, Crash(CrashId("e3", 1), evidence.now_s + 2.0)) is not None
