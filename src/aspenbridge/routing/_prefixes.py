"""Estimates of which prompt prefixes an engine has in its KV cache."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

BLOCK_TOKENS = 16
MAX_BLOCKS = 16
BLOCKS_PER_ENGINE = 4_096


def prefix_hashes(prompt: str, scope: str) -> tuple[int, ...]:
    """
    Return one hash for each full block of the prompt, up to ``MAX_BLOCKS``.

    A block is ``BLOCK_TOKENS`` words. Each hash covers its block and all
    blocks before it, so two prompts share a hash only if they share the whole
    prefix up to there.

    :param scope: separates prefixes that must not share a cache entry, such as
        those of two customers or two adapters.
    """
    words = prompt.split(maxsplit=BLOCK_TOKENS * MAX_BLOCKS)
    blocks = min(MAX_BLOCKS, len(words) // BLOCK_TOKENS)
    digest = xxhash.xxh3_64(scope.encode())
    hashes = []
    for index in range(blocks):
        block = words[index * BLOCK_TOKENS : (index + 1) * BLOCK_TOKENS]
        digest.update(" ".join(block).encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)


class PrefixIndex:
    """
    The prompt blocks that each engine probably has in its KV cache.

    The entries come from generations that ended on an engine, and may be
    wrong. A wrong entry costs one prefill and nothing else. Each engine keeps
    its ``BLOCKS_PER_ENGINE`` most recently recorded blocks.
    """

    def __init__(self) -> None:
        self._blocks: dict[str, OrderedDict[int, None]] = {}

    def record(self, engine: str, hashes: Iterable[int]) -> None:
        """Record that an engine has computed these blocks."""
        blocks = self._blocks.setdefault(engine, OrderedDict())
        for block_hash in hashes:
            blocks[block_hash] = None
            blocks.move_to_end(block_hash)
        while len(blocks) > BLOCKS_PER_ENGINE:
            blocks.popitem(last=False)

    def evict(self, engine: str, hashes: Iterable[int]) -> None:
        """Record that an engine has evicted these blocks."""
        blocks = self._blocks.get(engine, OrderedDict())
        for block_hash in hashes:
            blocks.pop(block_hash, None)

    def remove_engine(self, engine: str) -> None:
        """Drop all entries of an engine, as after missed cache events."""
        self._blocks.pop(engine, None)

    def cached_blocks(self, engine: str, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks the engine has probably cached."""
        blocks = self._blocks.get(engine)
        if not blocks:
            return 0
        cached = 0
        for block_hash in hashes:
            if block_hash not in blocks:
                break
            cached += 1
        return cached
