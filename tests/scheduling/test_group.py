"""The slot assignments of the owner of one engine group, without I/O."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from aspenbridge.peers import GrantRequest, RunningGrant
from aspenbridge.ports import EngineLoad
from aspenbridge.scheduling._group import Group, GroupPolicy

CAPACITY = 8


def make_group(weights=None, capacity=CAPACITY, grace_s=0.0, **policy) -> Group:
    weights = weights or {}
    return Group(
        GroupPolicy(**policy),
        lambda _: capacity,
        lambda customer: weights.get(customer, 1.0),
        0.0,
        grace_s=grace_s,
    )


def request_slot(group, grant, now_s=0.0, *, online=True, customer="a", **fields):
    values = {"wait_s": 0.5 if online else 60.0, "due_in_s": 9_000.0} | fields
    engines = values.pop("engines", ("e1",))
    request = GrantRequest(
        grant, "g", online, customer, 10, 90, engines=engines, origin="h1", **values
    )
    group.request(request, now_s)
    return group.assign_slots(now_s)


def granted(changes) -> list[str]:
    return [queued.request.grant for queued, _ in changes.granted]


def fill_with_batch(group, count=64, now_s=0.0) -> list[str]:
    grants = []
    for number in range(count):
        grants += granted(request_slot(group, f"b{number}", now_s, online=False))
    for step in range(100):
        grants += granted(group.assign_slots(now_s + step * 0.01))
    return grants


def test_batch_leaves_headroom_when_it_fills_an_engine() -> None:
    group = make_group(online_headroom=0.25)
    assert len(fill_with_batch(group)) == CAPACITY - CAPACITY // 4


def test_batch_is_revoked_newest_first_when_online_finds_no_slot() -> None:
    group = make_group(online_headroom=0.0)
    grants = fill_with_batch(group)
    changes = request_slot(group, "online", 1.0)
    assert granted(changes) == ["online"]
    assert [item.grant for item in changes.revoked] == [grants[-1]]


def test_online_waits_when_too_many_revoked_slots_still_run() -> None:
    group = make_group(online_headroom=0.0)
    fill_with_batch(group)
    granted_ids = [granted(request_slot(group, f"o{n}", 1.0)) for n in range(4)]
    assert granted_ids == [["o0"], ["o1"], [], []]
    group.release("b0", 1.01, tokens=5, failed=False)
    assert granted(group.assign_slots(1.01)) == ["o2"]


def test_batch_keeps_its_slots_when_isolation_is_off() -> None:
    group = make_group(isolation=False)
    fill_with_batch(group)
    changes = request_slot(group, "online", 1.0)
    assert not changes.granted
    assert not changes.revoked


@pytest.mark.parametrize(("weight", "share"), [(1.0, 0.5), (3.0, 0.75)])
def test_tokens_follow_weights_when_both_customers_wait(weight, share) -> None:
    group = make_group({"a": weight}, online_headroom=0.0)
    rng = random.Random(5)
    for number in range(200):
        request_slot(group, f"a{number}", online=False, customer="a")
        request_slot(group, f"b{number}", online=False, customer="b")
    running = ["a0"]
    served: Counter[str] = Counter()
    for step in range(1, 130):
        now_s = step * 0.05
        if running:
            done = running.pop(rng.randrange(len(running)))
            group.release(done, now_s, tokens=100, failed=False)
        new = granted(group.assign_slots(now_s))
        running += new
        served.update(name[0] for name in new)
    assert served["a"] / served.total() == pytest.approx(share, abs=0.05)


def test_small_job_is_served_soon_when_another_customer_queued_thousands() -> None:
    group = make_group(online_headroom=0.0)
    for number in range(2_000):
        request_slot(group, f"a{number}", online=False, customer="a")
    order = []
    for number in range(4):
        order += granted(
            request_slot(group, f"b{number}", 1.0, online=False, customer="b")
        )
    for step in range(20):
        for slot in group.slots.occupied()[:1]:
            group.release(slot.grant, 1.0 + step, tokens=100, failed=False)
        order += granted(group.assign_slots(1.0 + step))
    assert sum(name.startswith("b") for name in order[:10]) == 4


def test_batch_gets_one_protected_slot_when_online_load_never_ends() -> None:
    group = make_group(online_headroom=0.0)
    for number in range(CAPACITY + 4):
        request_slot(group, f"o{number}", wait_s=9_000.0)
    request_slot(group, "batch", online=False)
    group.release("o0", 11.0, tokens=10, failed=False)
    assert granted(group.assign_slots(11.0)) == ["batch"]
    assert not request_slot(group, "late", 11.1).revoked


def test_urgent_batch_may_use_headroom_when_its_deadline_is_near() -> None:
    group = make_group(online_headroom=0.5)
    fill_with_batch(group)
    assert granted(request_slot(group, "due", 2.0, online=False, due_in_s=60.0)) == [
        "due"
    ]


def test_request_is_refused_when_it_waited_too_long() -> None:
    group = make_group(capacity=1)
    request_slot(group, "first")
    request_slot(group, "second")
    changes = group.assign_slots(0.6)
    assert [queued.request.grant for queued in changes.refused] == ["second"]


def test_flooding_customer_is_refused_when_the_queue_is_full() -> None:
    group = make_group(capacity=1, queue_limit=4)
    for number in range(5):
        request_slot(group, f"a{number}")
    changes = request_slot(group, "b0", customer="b")
    assert [queued.request.grant for queued in changes.refused] == ["a4"]


def test_limit_falls_when_steps_are_slow_and_rises_when_they_are_fast() -> None:
    state = make_group(capacity=32).slots.engine("e1")
    state.apply_load(EngineLoad(32, 0, 0, 1, step_s=0.090))
    assert state.limit == 16
    for _ in range(4):
        state.apply_load(EngineLoad(16, 0, 0, 1, step_s=0.020))
    assert state.limit == 20


def test_engine_is_tried_with_one_request_when_it_was_ejected() -> None:
    group = make_group()
    for number in range(3):
        request_slot(group, f"x{number}")
        group.release(f"x{number}", 0.0, tokens=0, failed=True)
    assert not granted(request_slot(group, "soon", 0.1))
    granted_ids = granted(request_slot(group, "trial", 2.5)) + granted(
        request_slot(group, "more", 2.5)
    )
    assert granted_ids == ["trial"]
    group.release("trial", 2.6, tokens=9, failed=False)
    assert granted(group.assign_slots(2.6)) == ["more"]


def test_new_owner_admits_cautiously_when_reports_are_missing() -> None:
    group = make_group(grace_s=1.5)
    granted_ids = [
        granted(request_slot(group, f"o{n}", wait_s=9.0)) for n in range(CAPACITY)
    ]
    assert sum(map(len, granted_ids)) == CAPACITY // 2
    assert not granted(request_slot(group, "batch", online=False))


def test_slots_are_freed_when_their_host_is_lost_or_omits_them() -> None:
    group = make_group()
    request_slot(group, "old")
    group.slots.apply_report("h2", [RunningGrant("there", "e1", True, "a", 5)], 1.5)
    group.slots.apply_report("h1", [], 2.0)
    assert group.running == 1
    group.slots.release_absent_hosts({"h1"})
    assert group.running == 0


def test_engine_with_cached_prefix_is_chosen_when_it_is_not_too_full() -> None:
    group = make_group()
    engines = ("e1", "e2")
    group.prefixes.record("e2", (7, 8))
    chosen = []
    for number in range(6):
        changes = request_slot(
            group, f"o{number}", engines=engines, prefix_hashes=(7, 8)
        )
        chosen.append(changes.granted[0][1])
    assert chosen[0] == "e2"
    assert "e1" in chosen
