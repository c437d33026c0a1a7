"""Which engine probably holds the key-value cache of a prompt's prefix."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

BLOCK_TOKENS = 16
MOST_BLOCKS = 16
BLOCKS_PER_ENGINE = 4_096


def prefix_hashes(prompt: str, scope: str) -> tuple[int, ...]:
    """
    Return a hash for each whole block of the prompt and all before it.

    :param scope: keeps prefixes apart that no cache shares, such as those of
        two customers or two adapters.
    """
    words = prompt.split(maxsplit=BLOCK_TOKENS * MOST_BLOCKS)
    blocks = min(MOST_BLOCKS, len(words) // BLOCK_TOKENS)
    digest = xxhash.xxh3_64(scope.encode())
    hashes = []
    for number in range(blocks):
        block = words[number * BLOCK_TOKENS : (number + 1) * BLOCK_TOKENS]
        digest.update(" ".join(block).encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)


class PrefixIndex:
    """
    Hints of the blocks that each engine holds; they may be wrong.

    Filled from work that ended on an engine and from its cache events. A
    wrong hint costs one prefill and no more.
    """

    def __init__(self) -> None:
        self._blocks: dict[str, OrderedDict[int, None]] = {}

    def learn(self, engine: str, hashes: Iterable[int]) -> None:
        """Take in that an engine read these blocks."""
        blocks = self._blocks.setdefault(engine, OrderedDict())
        for item in hashes:
            blocks[item] = None
            blocks.move_to_end(item)
        while len(blocks) > BLOCKS_PER_ENGINE:
            blocks.popitem(last=False)

    def evicted(self, engine: str, hashes: Iterable[int]) -> None:
        """Take in that an engine dropped these blocks."""
        blocks = self._blocks.get(engine, OrderedDict())
        for item in hashes:
            blocks.pop(item, None)

    def forget(self, engine: str) -> None:
        """Drop all hints of an engine, as after a gap in its events."""
        self._blocks.pop(engine, None)

    def held(self, engine: str, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks the engine probably holds."""
        blocks = self._blocks.get(engine)
        if not blocks:
            return 0
        count = 0
        for item in hashes:
            if item not in blocks:
                break
            count += 1
        return count
