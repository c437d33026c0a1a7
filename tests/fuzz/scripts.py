"""Scripted histories, each with an outcome that depends on one guard."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tests.fuzz.history import History
from tests.support.fleet import STORE_DELAY_S

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_WAIT_STEPS = 100
HALF_STORE_DELAY_S = STORE_DELAY_S / 2


def booking_resent_to_another_host(history: History) -> None:
    first, second, _ = history.fleet.usable()
    history.submit_booking(first)
    history.advance(1.0)
    history.submit_booking(second, history.booking_keys()[0])
    history.advance(1.0)


def job_resent_to_another_host(history: History) -> None:
    first, second, _ = history.fleet.usable()
    history.submit_job(first)
    history.advance(1.0)
    history.submit_job(second, history.job_keys()[0])
    history.advance(1.0)


def reply_lost_after_a_change(history: History) -> None:
    """Lose the reply to the write that makes the new revision."""
    first = history.fleet.usable()[0]
    first.gate.lose_reply_to = "config"
    history.change(first)
    history.advance(3.0)


class NoLock:
    """Replaces a lock, so that two reads of the configuration overlap."""

    async def __aenter__(self) -> None:
        return None

    async def __aexit__(self, *_: object) -> None:
        return None


def late_reply_to_a_follower(history: History) -> None:
    """Let a slow read of one change return after a newer one is in force."""
    first, second, third = history.fleet.usable()
    for host in (second, third):
        history.fleet.network.cuts.add(frozenset((first.gate.name, host.gate.name)))
    first.core.follower._update_lock = NoLock()  # the lock prevents overlapping reads
    history.change(second)
    history.advance(10 * STORE_DELAY_S)
    history.fleet.spawn(first.core.follower.refresh())
    history.advance(HALF_STORE_DELAY_S)
    history.fleet.set_store_faults(delay_s=3.0)
    history.advance(STORE_DELAY_S)
    history.fleet.set_store_faults(delay_s=STORE_DELAY_S)
    history.change(second)
    history.advance(10 * STORE_DELAY_S)
    history.fleet.spawn(first.core.follower.refresh())
    history.advance(5.0)


def work_after_a_recall(history: History) -> None:
    """Send chats once the time limit of a recall has passed."""
    first = history.fleet.usable()[0]
    history.recall(first)
    history.advance(20.0)
    for _ in range(6):
        history.submit_chat(first)
    history.advance(2.0)


def late_write_of_a_fenced_host(history: History) -> None:
    """Delay the commit of an acceptance until its host is fenced."""
    first, second, _ = history.fleet.usable()
    history.advance(10.0)
    history.fleet.set_store_faults(delay_s=60.0)
    history.submit_coding(first, "Q1")
    history.advance(HALF_STORE_DELAY_S)
    history.fleet.set_store_faults(delay_s=STORE_DELAY_S)
    history.fleet.kill(first)
    history.advance(70.0)
    history.submit_coding(second, "Q1")
    history.advance(30.0)


def chunk_claimed_twice_at_once(history: History) -> None:
    """Have all hosts claim a chunk at once; one counts its results late."""
    first, second, _ = history.fleet.usable()
    history.fleet.set_store_faults(delay_s=0.5)
    history.submit_job(second, "J1")
    for _ in range(MAX_WAIT_STEPS):
        if any(run.gate is first.gate for run in history.fleet.runs):
            break
        history.advance(0.1)
    first.gate.pause()
    history.fleet.set_store_faults(delay_s=STORE_DELAY_S)
    history.advance(2.5)
    history.read_jobs(second)
    first.gate.resume()
    history.advance(10.0)


# The script for each guard, and the promise that it breaks without the guard.
SCRIPTS: dict[str, tuple[Callable[[History], None], str]] = {
    "epoch condition": (late_write_of_a_fenced_host, "readable"),
    "booking journal": (booking_resent_to_another_host, "at most once"),
    "idempotency key": (job_resent_to_another_host, "one job"),
    "write token": (reply_lost_after_a_change, "truthful refusal"),
    "revision check": (late_reply_to_a_follower, "never reverts"),
    "recall filter": (work_after_a_recall, "recall"),
}


# Few seeds detect the removal of this guard, so CI does not run the script.
SEARCH_SCRIPTS = {"claim check": (chunk_claimed_twice_at_once, "counted results stay")}


def run_script(script: Callable[[History], Any], seed: int = 1) -> set[str]:
    """Run a scripted history and return the promises that it breaks."""
    history = History(seed)
    script(history)
    history.finish()
    history.close()
    return {text.split(":")[0] for text in history.oracle.violations}
