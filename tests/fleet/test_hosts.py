"""The rows by which hosts tell that they are live."""

from __future__ import annotations

from collections import Counter

import pytest

from aspenbridge.fleet._hosts import HEARTBEAT_INTERVAL_S, host_key

PART_WRITES_PER_S = 200  # that the store makes in one part


@pytest.mark.parametrize("hosts", [195, 422, 1000])
def test_heartbeats_of_a_large_fleet_do_not_fill_a_part_of_the_store(hosts):
    names = [f"edge-region-{n % 6}-{n}" for n in range(hosts)]
    parts = Counter(host_key(name).part for name in names)
    assert max(parts.values()) / HEARTBEAT_INTERVAL_S < PART_WRITES_PER_S
    assert "" not in parts  # the part of the engine list and other shared rows
