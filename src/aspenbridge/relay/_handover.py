"""
Decides between a silent engine and the one that was asked in its place.

The rule suits engines that pause for a second and go on, beside engines that
hang, while the others may be full. A silent engine is kept until another one
has answered, but two engines run a request for a short time only. An engine
that was left for its silence may be asked once more; it must answer then.
"""

from __future__ import annotations

from enum import Enum


class EngineState(Enum):
    """What an engine has done since the other one was asked."""

    SILENT = "silent"
    SPOKE = "spoke"
    COMPLETED = "completed"  # its answer is complete
    FAILED = "failed"  # it refused the request, broke off or was not reached


class Verdict(Enum):
    """Which engine serves the request from now on."""

    WAIT = "wait"
    KEEP = "keep"  # the engine that was silent
    MOVE = "move"  # the engine that was asked in its place


def judge_handover(
    current: EngineState,
    successor: EngineState,
    *,
    overdue: bool,
    asked_again: bool = False,
) -> Verdict:
    """
    Return which of two engines to go on with.

    The successor goes first once it has answered, even if the current engine
    speaks again: it has begun the run, and must not run it beside the other.

    :param current: the state of the engine that fell silent.
    :param successor: the state of the engine that was asked in its place.
    :param overdue: whether both have had the request for as long as allowed.
    :param asked_again: whether the successor had the request before and was
        silent then.
    """
    if current is EngineState.COMPLETED or successor is EngineState.FAILED:
        return Verdict.KEEP
    if successor is EngineState.SPOKE or current is EngineState.FAILED:
        return Verdict.MOVE
    if not overdue:
        return Verdict.WAIT
    sound = current is EngineState.SPOKE or asked_again
    return Verdict.KEEP if sound else Verdict.MOVE
