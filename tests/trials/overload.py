"""Goodput during an overload, and recovery after it."""

from __future__ import annotations

import asyncio

from tests.trials.fleet import TrialFleet
from tests.trials.load import Load, percentile, ttft_s

GOODPUT_TTFT_S = 2.0  # later answers do not count as goodput
NORMAL_RATE = 60.0  # requests per second


async def run_overload(
    clock, seed, *, normal=NORMAL_RATE, peak=200.0, seconds=30.0, calm=12.0, **settings
) -> dict:
    """
    Send normal load, then an overload, then normal load again.

    :param normal: the normal rate in requests per second.
    :param peak: the rate of the overload in requests per second.
    :param seconds: the length of the overload.
    :param calm: the seconds of normal load before and after the overload.
    """
    fleet = TrialFleet(clock, seed, **settings)
    load = Load(fleet, seed + 1)
    start_s = clock.now_s()
    await load.online(normal, calm)
    overload_s = clock.now_s()
    await load.online(peak, seconds)
    end_s = clock.now_s()
    await load.online(normal, calm)
    await asyncio.sleep(4.0)
    normal_ttfts_s = ttft_s(load.recorder.successful(start_s + 3.0, overload_s))
    normal_p99_s = percentile(normal_ttfts_s, 0.99)
    in_time = [
        answer
        for answer in load.recorder.successful()
        if answer.first_s - answer.arrived_s <= GOODPUT_TTFT_S
    ]
    refused = [answer for answer in load.recorder.answers if not answer.ok]
    slow_arrivals_s = [
        answer.arrived_s
        for answer in load.recorder.successful(end_s)
        if _is_slow(answer, normal_p99_s)
    ]
    refused_arrivals_s = [
        answer.arrived_s for answer in refused if answer.arrived_s >= end_s
    ]
    recovered_s = max([*slow_arrivals_s, *refused_arrivals_s], default=end_s)
    return {
        "normal_p99_ms": round(1000 * normal_p99_s, 1),
        "goodput_per_s": round(
            sum(overload_s + 2.0 <= answer.end_s < end_s for answer in in_time)
            / (seconds - 2.0),
            1,
        ),
        "refused": len(refused),
        "refusal_p99_ms": round(
            1000
            * percentile([answer.end_s - answer.arrived_s for answer in refused], 0.99),
            1,
        ),
        "refusal_p50_ms": round(
            1000
            * percentile([answer.end_s - answer.arrived_s for answer in refused], 0.5),
            1,
        ),
        "over_ttft_p99_ms": round(
            1000
            * percentile(ttft_s(load.recorder.successful(overload_s, end_s)), 0.99),
            1,
        ),
        "last_trace_after_s": round(recovered_s - end_s, 2),
        "p99_after_5s_ms": round(
            1000 * percentile(ttft_s(load.recorder.successful(end_s + 5.0)), 0.99), 1
        ),
    }


def _is_slow(answer, normal_p99_s: float) -> bool:
    """Return whether the TTFT is above twice the normal 99th percentile."""
    return ttft_s([answer])[0] > 2 * normal_p99_s
