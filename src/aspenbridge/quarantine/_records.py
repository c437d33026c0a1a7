"""Rows of crashes and trials; each is written once and never changed."""

from __future__ import annotations

import re

import attrs

from aspenbridge.ports import RowKey

from ._ledger import CrashId

CRASHES_TABLE = "crashes"
TRIAL = "trial"  # stands in the key of a trial where a crash has a number
KEY_END = re.compile(
    rf"{TRIAL}/([0-9]{{1,9}})|([0-9]{{1,16}})/([0-9]{{1,9}})/(.*)", re.DOTALL
)


@attrs.frozen
class CrashRecord:
    """
    A crash of one start of an engine under a request or a part of prompts.

    ``fingerprint`` is the key of the suspect, ``position`` the place of a part
    in the prompt, ``tag`` that of the run. ``confirmed`` is False where a
    suspect is held already and the list of engines has not told yet whether
    the engine has ended.
    """

    fingerprint: str
    engine_id: str
    started_ms: int
    number: int
    at_wall_s: float
    late: bool = False  # only read by builds that quarantined batch items
    position: int = 0
    tag: int = 0
    confirmed: bool = True


@attrs.frozen
class TrialRecord:
    """A trial of a suspect that is held, which one host has claimed."""

    fingerprint: str
    number: int
    at_wall_s: float


def crash_key(fingerprint: str, crash_id: CrashId) -> RowKey:
    """Return the key of a crash, which all hosts that saw it share."""
    engine_id, started_ms, number = crash_id
    return RowKey(CRASHES_TABLE, f"{fingerprint}/{started_ms}/{number}/{engine_id}")


def trial_key(fingerprint: str, number: int) -> RowKey:
    """Return the key of a trial, which only one host can create."""
    return RowKey(CRASHES_TABLE, f"{fingerprint}/{TRIAL}/{number}")


def parse_key(key: str) -> tuple[str, CrashId | int | None]:
    """
    Return the fingerprint and the crash, or the number of the trial.

    The second is None for a key that is of neither.
    """
    fingerprint, _, rest = key.partition("/")
    found = KEY_END.fullmatch(rest)
    if found is None:
        return fingerprint, None
    trial, started_ms, number, engine_id = found.groups()
    if trial is not None:
        return fingerprint, int(trial)
    return fingerprint, CrashId(engine_id, int(started_ms), int(number))
