from __future__ import annotations

import itertools

import pytest

from aspenbridge.relay._handover import EngineState, Verdict, judge_handover

SILENT, SPOKE = EngineState.SILENT, EngineState.SPOKE
COMPLETED, FAILED = EngineState.COMPLETED, EngineState.FAILED


@pytest.mark.parametrize("overdue", [False, True])
@pytest.mark.parametrize("current", EngineState)
def test_silent_engine_is_kept_when_its_successor_fails(current, overdue):
    verdict = judge_handover(current, FAILED, overdue=overdue)
    assert verdict is Verdict.KEEP


@pytest.mark.parametrize("overdue", [False, True])
@pytest.mark.parametrize("current", [SILENT, SPOKE, FAILED])
def test_two_engines_do_not_both_run_a_request_that_the_successor_has_begun(
    current, overdue
):
    assert judge_handover(current, SPOKE, overdue=overdue) is Verdict.MOVE


@pytest.mark.parametrize(
    ("current", "overdue", "verdict"),
    [
        (SILENT, False, Verdict.WAIT),
        (SPOKE, False, Verdict.WAIT),
        (SPOKE, True, Verdict.KEEP),
        (SILENT, True, Verdict.MOVE),
        (FAILED, False, Verdict.MOVE),
        (COMPLETED, False, Verdict.KEEP),
    ],
)
def test_answer_in_hand_is_not_given_up_for_a_successor_that_is_silent(
    current, overdue, verdict
):
    assert judge_handover(current, SILENT, overdue=overdue) is verdict


def test_engine_that_is_silent_again_gets_no_answer_in_hand():
    verdict = judge_handover(SILENT, SILENT, overdue=True, asked_again=True)
    assert verdict is Verdict.KEEP


def test_handover_never_waits_longer_than_allowed():
    for current, successor in itertools.product(EngineState, EngineState):
        verdict = judge_handover(current, successor, overdue=True)
        assert verdict is not Verdict.WAIT
