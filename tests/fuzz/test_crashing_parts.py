"""A few seeded histories of parts of prompts that crash engines."""

from __future__ import annotations

import pytest

from tests.fuzz.crashing_parts import run_history


# 11, 21: only the end of its connection marks an answer. 2549, 20474: the
# list shows engines that have ended. 210: a trial brings one crash more to two
# parts of its prompt, one after the other. 30046: two guilty parts end engines
# on which a first part runs. 30115: answers that break off look whole.
@pytest.mark.parametrize("seed", [*range(1, 9), 11, 21, 210, 2549, 20474, 30046, 30115])
def test_guilty_parts_are_stopped_and_sound_ones_served(seed):
    violations, counts = run_history(seed)
    assert violations == []
    assert counts.total()
