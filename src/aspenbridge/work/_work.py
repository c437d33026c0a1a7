"""One piece of work for an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from random import Random

ID_BITS = 96


def new_id(prefix: str, random: Random) -> str:
    """
    Return an id that can't be guessed from another one.

    :param prefix: what the id stands for, such as ``req``.
    :param random: the source; a system source outside of tests.
    """
    return f"{prefix}-{random.getrandbits(ID_BITS):024x}"


@attrs.frozen
class Work:
    """A generation that a customer asked for, online or in a batch."""

    work_id: str
    customer: str
    model: str
    prompt: str
    max_tokens: int
    online: bool
    deadline_s: float
    adapter: str | None = None
    labels: dict[str, str] = attrs.field(factory=dict)

    @property
    def prompt_tokens(self) -> int:
        """The prompt's length in tokens, estimated by words."""
        return len(self.prompt.split())
