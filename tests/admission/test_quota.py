"""The decision whether a batch job fits into the tokens that may wait."""

from __future__ import annotations

import random

import attrs
import pytest

from aspenbridge.admission import CountedQuota, Verdict
from aspenbridge.admission._quota import FREED_WINDOW_S, MAX_RETRY_S, MIN_RETRY_S


@attrs.define
class StillClock:
    time_s: float = 100.0

    def now_s(self) -> float:
        return self.time_s


@pytest.fixture
def clock():
    return StillClock()


@pytest.fixture
def quota(clock):
    return CountedQuota(clock, random.Random(1))


def test_job_is_admitted_up_to_the_last_token_and_not_beyond_it(quota):
    quota.track("j1", "batch", 60)
    assert quota.decide("batch", 100, 40).verdict is Verdict.ADMITTED
    assert quota.decide("batch", 100, 41).verdict is Verdict.FULL


def test_limit_of_zero_admits_any_job(quota):
    quota.track("j1", "batch", 10**9)
    assert quota.decide("batch", 0, 10**9).admitted


def test_tokens_of_another_route_do_not_count(quota):
    quota.track("j1", "other", 100)
    assert quota.decide("batch", 100, 100).admitted


def test_job_is_counted_once_however_often_it_is_seen(quota):
    for _ in range(3):
        quota.track("j1", "batch", 60)
    assert quota.waiting_tokens("batch") == 60


def test_tokens_are_freed_once_however_often_the_end_is_seen(quota):
    quota.track("j1", "batch", 60)
    quota.track("j2", "batch", 30)
    quota.track("j1", "batch", 20)
    assert quota.waiting_tokens("batch") == 50
    for _ in range(3):
        quota.forget("j1")
    assert quota.waiting_tokens("batch") == 30


def test_job_that_fits_into_no_empty_route_is_not_told_to_come_back(quota):
    decision = quota.decide("batch", 100, 101)
    assert decision.verdict is Verdict.NEVER_FITS
    assert decision.retry_after_s is None


def test_refused_job_is_told_when_enough_tokens_will_have_been_freed(quota, clock):
    quota.track("j1", "batch", 1000)
    for left in (900, 800, 700, 600, 500):
        clock.time_s += 1.0
        quota.track("j1", "batch", left)
    told = quota.decide("batch", 500, 200).retry_after_s
    assert 2.0 <= told <= 3.0  # 100 tokens a second are freed


def test_refused_jobs_do_not_all_return_at_the_same_moment(quota):
    quota.track("j1", "batch", 100)
    told = {quota.decide("batch", 100, 1).retry_after_s for _ in range(20)}
    assert max(told) - min(told) > MAX_RETRY_S / 4


def test_tokens_freed_long_ago_promise_no_room_soon(quota, clock):
    quota.track("j1", "batch", 1000)
    quota.track("j1", "batch", 500)
    soon = quota.decide("batch", 500, 1).retry_after_s
    clock.time_s += FREED_WINDOW_S + 0.1
    later = quota.decide("batch", 500, 1).retry_after_s
    assert soon < 2 * MIN_RETRY_S
    assert later >= MAX_RETRY_S
