"""Hints of prefixes help and never harm."""

from __future__ import annotations

from aspenbridge.routing import PrefixIndex, prefix_hashes

SHARED = "word " * 64


def test_hashes_agree_as_far_as_prompts_do() -> None:
    one = prefix_hashes(SHARED + "a " * 32, "customer")
    two = prefix_hashes(SHARED + "b " * 32, "customer")
    assert one[:4] == two[:4]
    assert one[4] != two[4]


def test_hashes_differ_when_customers_do() -> None:
    mine, yours = prefix_hashes(SHARED, "mine"), prefix_hashes(SHARED, "yours")
    assert not set(mine) & set(yours)


def test_index_counts_leading_blocks_when_one_in_between_was_evicted() -> None:
    index = PrefixIndex()
    index.learn("e1", (1, 2, 3))
    assert index.held("e1", (1, 2, 3, 4)) == 3
    index.evicted("e1", (2,))
    assert index.held("e1", (1, 2, 3)) == 1
    index.forget("e1")
    assert index.held("e1", (1,)) == 0
