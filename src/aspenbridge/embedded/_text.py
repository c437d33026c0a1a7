"""The text that embedded engines generate, determined by the prompt."""

from __future__ import annotations

import xxhash


def token_text(prompt: str, index: int) -> str:
    """
    Return the token at an index of the answer to a prompt.

    A token depends only on the prompt and its index, so that a check can
    tell a complete answer from one that is truncated, has tokens of another
    answer or repeats some of its own.
    """
    digest = xxhash.xxh32_hexdigest(f"{index}\0{prompt}".encode())
    return f"{digest[:5]} "
