"""Prefix hashes separate customers; the index counts cached blocks."""

from __future__ import annotations

from aspenbridge.routing import PrefixIndex, prefix_hashes

SHARED = "word " * 64


def test_hashes_are_equal_up_to_the_first_differing_block() -> None:
    one = prefix_hashes(SHARED + "a " * 32, "customer")
    two = prefix_hashes(SHARED + "b " * 32, "customer")
    assert one[:4] == two[:4]
    assert one[4] != two[4]


def test_hashes_differ_when_scopes_differ() -> None:
    mine, yours = prefix_hashes(SHARED, "mine"), prefix_hashes(SHARED, "yours")
    assert not set(mine) & set(yours)


def test_index_counts_leading_blocks_when_a_middle_block_was_evicted() -> None:
    index = PrefixIndex()
    index.record("e1", (1, 2, 3))
    assert index.cached_blocks("e1", (1, 2, 3, 4)) == 3
    index.evict("e1", (2,))
    assert index.cached_blocks("e1", (1, 2, 3)) == 1
    index.remove_engine("e1")
    assert index.cached_blocks("e1", (1,)) == 0
