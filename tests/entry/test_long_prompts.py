"""Crashes of engines under prompts of a thousand parts each."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.support.entry_fleet import EntryFleet, make_request, part_fields
from tests.support.virtual_loop import run_virtual

PROMPTS = 4
PARTS = 1100  # as many as the head of a request holds
GUILTY = "shared-7"
STEP_S = 0.005  # of virtual time
# The latency goal of a usual route.
MOST_STEP_S = 0.3


def prompt_parts(number):
    """Return parts of which half are shared with all other prompts."""
    shared = (f"shared-{n}" for n in range(PARTS // 2))
    return (*shared, *(f"own-{number}-{n}" for n in range(PARTS // 2)))


async def send_prompts(fleet, wave):
    await asyncio.gather(
        *(
            fleet.relay(
                "h0",
                make_request(
                    f"r{wave}-{number}",
                    body=f"{wave} {number}".encode(),
                    **part_fields(*prompt_parts(f"{wave}-{number}")),
                ),
            )
            for number in range(PROMPTS)
        )
    )


async def watch_steps(steps, until):
    """Note how much processor time the host takes in each step."""
    while not until.done():
        begun_s = time.process_time()
        await asyncio.sleep(STEP_S)
        steps.append(time.process_time() - begun_s)


# A host that noted a crash for thousands of parts did nothing else for 13 s
# and more: it searched all suspects for the least one, for each part anew.
@pytest.mark.parametrize("waves", [1, 4])
def test_host_goes_on_while_engines_crash_under_long_prompts(waves):
    async def main(clock):
        async with EntryFleet(clock, hosts=1, engines=6, events=3) as fleet:
            fleet.engine_down_s = 2.5
            fleet.engines.crashing_parts.add(GUILTY)
            fleet.engines.crash_after_s = 0.3

            async def play():
                for wave in range(waves):
                    await send_prompts(fleet, wave)
                    await asyncio.sleep(0.5)
                await asyncio.sleep(4.0)  # until all crashes are confirmed

            steps = []
            playing = asyncio.create_task(play())
            await watch_steps(steps, playing)
            await playing
            assert len(fleet.engines.crashes) >= waves
            return max(steps)

    assert run_virtual(main) < MOST_STEP_S


# The claim of a trial had a row for each part, more than the store takes at
# once, so that a prompt of more parts was held for a day.
def test_prompt_of_hundreds_of_held_parts_is_tried_until_it_is_sound():
    async def main(clock):
        async with EntryFleet(clock, hosts=2, engines=6, events=60) as fleet:
            fleet.engine_down_s = 2.5
            fleet.engines.crashing_parts.add(GUILTY)
            parts = ("first", *(f"shared-{n}" for n in range(300)))

            async def send(number):
                body = b"%d" % number
                request = make_request(f"r{number}", body=body, **part_fields(*parts))
                return await fleet.relay(f"h{number % 2}", request)

            for number in range(20):
                await send(number)
                await asyncio.sleep(0.5)
            assert len(fleet.hosts["h0"].quarantine._ledger.held()) == 300
            crashes = len(fleet.engines.crashes)
            fleet.engines.crashing_parts.clear()
            for number in range(20, 80):
                response = await send(number)
                if response.finished:
                    return crashes
                await asyncio.sleep(0.5)
            raise AssertionError("the prompt is never tried again")

    assert run_virtual(main) <= 6  # with the trials of the first 10 s
