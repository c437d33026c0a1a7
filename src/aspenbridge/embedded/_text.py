"""The text that embedded engines generate: a function of the prompt."""

from __future__ import annotations

import xxhash


def token_text(prompt: str, index: int) -> str:
    """
    Return one token of the answer to a prompt.

    Each token follows from the prompt and its place alone, so that a reader
    can tell a whole answer from one that was cut, crossed or doubled.
    """
    digest = xxhash.xxh32_hexdigest(f"{index}\0{prompt}".encode())
    return f"{digest[:5]} "
