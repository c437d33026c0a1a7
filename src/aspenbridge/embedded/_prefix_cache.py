"""A simulated cache of prompt prefixes with limited memory."""

from __future__ import annotations

from collections import OrderedDict

import xxhash

BLOCK_TOKENS = 16


class PrefixCache:
    """
    Holds the hashes of prompt prefixes, block by block.

    The least recently used blocks are evicted first.
    """

    def __init__(self, limit_tokens: int) -> None:
        self._limit_blocks = limit_tokens // BLOCK_TOKENS
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def read(self, prompt: str, adapter: str | None) -> tuple[int, int]:
        """
        Look up the prefix blocks of a prompt, then add them to the cache.

        :return: the length of the prompt in tokens, and the length of its
            longest cached prefix in tokens.
        """
        words = prompt.split()
        digest = xxhash.xxh3_64((adapter or "").encode())
        cached_tokens = 0
        prefix_is_cached = True
        for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
            block = words[start : start + BLOCK_TOKENS]
            digest.update("\0".join(block).encode())
            key = digest.intdigest()
            prefix_is_cached = prefix_is_cached and key in self._blocks
            cached_tokens += BLOCK_TOKENS if prefix_is_cached else 0
            self._add(key)
        return len(words), cached_tokens

    def clear(self) -> None:
        """Remove all blocks, as a restart of the engine does."""
        self._blocks.clear()

    def _add(self, key: int) -> None:
        self._blocks[key] = None
        self._blocks.move_to_end(key)
        while len(self._blocks) > self._limit_blocks:
            self._blocks.popitem(last=False)
