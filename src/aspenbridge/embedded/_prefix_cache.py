"""An engine's cache of prompt prefixes in limited memory."""

from __future__ import annotations

from collections import OrderedDict

import xxhash

BLOCK_TOKENS = 16


class PrefixCache:
    """Blocks of prompt tokens; the least recently used go first."""

    def __init__(self, limit_tokens: int) -> None:
        self._limit_blocks = limit_tokens // BLOCK_TOKENS
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def read(self, prompt: str, adapter: str | None) -> tuple[int, int]:
        """
        Take in a prompt.

        :return: its length in tokens and how many of them were cached.
        """
        words = prompt.split()
        digest = xxhash.xxh3_64((adapter or "").encode())
        cached = 0
        leading = True
        for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
            block = words[start : start + BLOCK_TOKENS]
            digest.update("\0".join(block).encode())
            key = digest.intdigest()
            leading = leading and key in self._blocks
            cached += BLOCK_TOKENS if leading else 0
            self._keep(key)
        return len(words), cached

    def clear(self) -> None:
        """Forget everything, as a restart does."""
        self._blocks.clear()

    def _keep(self, key: int) -> None:
        self._blocks[key] = None
        self._blocks.move_to_end(key)
        while len(self._blocks) > self._limit_blocks:
            self._blocks.popitem(last=False)
