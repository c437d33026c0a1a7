"""A request for generation on an engine, and random ids of objects."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from random import Random

ID_BITS = 96


def new_id(prefix: str, random: Random) -> str:
    """
    Return a random id of ``ID_BITS`` bits, in hexadecimal after a prefix.

    :param prefix: the kind of object that the id names, such as ``req``.
    :param random: the source of randomness. Outside of tests this must be a
        system source, so that no id can be guessed from another one.
    """
    return f"{prefix}-{random.getrandbits(ID_BITS):024x}"


@attrs.frozen
class Work:
    """
    One generation that a customer requested, online or in a batch.

    ``deadline_s`` is a time of the host's monotonic clock.
    """

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
        """The prompt's length in tokens, estimated as its number of words."""
        return len(self.prompt.split())
