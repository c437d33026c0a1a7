"""Random actions of a history and their weights."""

from __future__ import annotations

import random
from collections.abc import Callable

from tests.fuzz.history import History
from tests.support.fleet import FleetHost

Action = Callable[[History, random.Random], None]
# The times that may pass after an action.
STEPS_S = (0.0, 0.006, 0.02, 0.06, 0.2, 0.7, 2.0, 6.0)
LOST_REPLY_SHARE = 0.3
SLOW_STORE_S = 0.8
MAX_HOSTS = 6  # lost hosts included


def _host(history: History, rng: random.Random) -> FleetHost:
    return rng.choice(history.fleet.usable())


def _maybe_used_key(keys: list[str], rng: random.Random) -> str | None:
    """Return one of the used keys, or None for a new key."""
    return rng.choice(keys) if keys and rng.random() < 0.4 else None


def coding(history: History, rng: random.Random) -> None:
    key = _maybe_used_key(history.coding_keys(), rng)
    history.submit_coding(_host(history, rng), key)


def other_body(history: History, rng: random.Random) -> None:
    """Send a coding request with a new body under a used key, if any."""
    if history.coding_keys():
        key = rng.choice(history.coding_keys())
        history.submit_conflicting_coding(_host(history, rng), key)


def chat(history: History, rng: random.Random) -> None:
    history.submit_chat(_host(history, rng))


def booking(history: History, rng: random.Random) -> None:
    key = _maybe_used_key(history.booking_keys(), rng)
    history.submit_booking(_host(history, rng), key)


def job(history: History, rng: random.Random) -> None:
    history.submit_job(_host(history, rng), _maybe_used_key(history.job_keys(), rng))


def cancel(history: History, rng: random.Random) -> None:
    jobs = list(history.oracle.jobs.values())
    if jobs:
        history.cancel_job(_host(history, rng), rng.choice(jobs))


def change(history: History, rng: random.Random) -> None:
    """Have two operators race, possibly at the same host."""
    history.change(_host(history, rng), _host(history, rng))


def recall(history: History, rng: random.Random) -> None:
    history.recall(_host(history, rng))


def kill(history: History, rng: random.Random) -> None:
    if len(history.fleet.usable()) > 1:
        host = _host(history, rng)
        history.record_fault("host lost", host.gate.name)
        history.fleet.kill(host)


def replace(history: History, rng: random.Random) -> None:
    """Start another host, whether or not one is lost."""
    if len(history.fleet.hosts) < MAX_HOSTS:
        history.record_fault("host started")
        history.fleet.add_host()


def pause(history: History, rng: random.Random) -> None:
    host = _host(history, rng)
    history.record_fault("host paused", host.gate.name)
    host.gate.pause()


def resume(history: History, rng: random.Random) -> None:
    """Resume every paused host."""
    for host in history.fleet.usable():
        if not host.gate.running.is_set():
            history.record_fault("host resumed", host.gate.name)
            host.gate.resume()


def store_down(history: History, rng: random.Random) -> None:
    history.record_fault("store down")
    history.fleet.set_store_faults(down=True)


def store_slow(history: History, rng: random.Random) -> None:
    history.record_fault("store slow")
    history.fleet.set_store_faults(delay_s=SLOW_STORE_S)


def lost_replies(history: History, rng: random.Random) -> None:
    history.record_fault("replies lost")
    history.fleet.set_store_faults(lose_reply_share=LOST_REPLY_SHARE)


def store_healed(history: History, rng: random.Random) -> None:
    history.record_fault("store healed")
    history.fleet.set_store_faults(down=False, delay_s=0.004, lose_reply_share=0.0)


def store_cut(history: History, rng: random.Random) -> None:
    """Cut a host off from the store, or connect one that is cut off."""
    host = _host(history, rng)
    cut = not host.gate.store_cut
    history.record_fault(
        "host cut from store" if cut else "host joined store", host.gate.name
    )
    host.gate.cut_store(cut=cut)


def peers_cut(history: History, rng: random.Random) -> None:
    """Cut two hosts off from each other, or connect two that are cut off."""
    hosts = history.fleet.usable()
    if len(hosts) < 2:
        return
    pair = frozenset(host.gate.name for host in rng.sample(hosts, 2))
    history.record_fault("hosts cut or joined", " and ".join(sorted(pair)))
    history.fleet.network.cuts ^= {pair}


def engine_crash(history: History, rng: random.Random) -> None:
    name = rng.choice(sorted(history.fleet.engines.engines))
    history.record_fault("engine crashed", name)
    history.fleet.engines.engines[name].crash()


def service_faults(history: History, rng: random.Random) -> None:
    """Redraw all faults of the connections to the service."""
    faults = history.fleet.service_faults
    faults.refuse = rng.random() < 0.3
    faults.break_before = rng.random() < 0.3
    faults.break_after = rng.random() < 0.3
    history.record_fault("service connections", str(faults))


WEIGHTS: dict[Action, int] = {
    coding: 8,
    other_body: 2,
    chat: 3,
    booking: 8,
    job: 3,
    cancel: 2,
    change: 4,
    recall: 1,
    kill: 3,
    replace: 2,
    pause: 3,
    resume: 3,
    store_down: 2,
    store_slow: 2,
    lost_replies: 3,
    store_healed: 5,
    store_cut: 3,
    peers_cut: 2,
    engine_crash: 2,
    service_faults: 2,
}


def run_history(seed: int, steps: int) -> History:
    """Run one random history and its final checks; the caller closes it."""
    rng = random.Random(seed)
    history = History(seed, hosts=rng.choice((3, 4)))
    actions, weights = list(WEIGHTS), list(WEIGHTS.values())
    for _ in range(steps):
        rng.choices(actions, weights)[0](history, rng)
        history.advance(rng.choice(STEPS_S))
    history.finish()
    return history
