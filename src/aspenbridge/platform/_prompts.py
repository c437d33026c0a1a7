"""Reads which parts of its prompt a request shares with others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import _names as names

if TYPE_CHECKING:
    from aspenbridge.ports import Headers

PROMPT_PARTS = names.PROMPT_PARTS.lower()


def shared_prompt_parts(headers: Headers) -> tuple[str, ...]:
    """
    Return the ids of the parts that a prompt may share, in their order.

    That is all but the last one, which belongs to the request or its session.
    Text that is not a list of parts yields whatever ids it has, since engines
    get it unchanged.
    """
    values = [value for name, value in headers if name.lower() == PROMPT_PARTS]
    if not values:
        return ()
    ids = [entry.partition(":")[0].strip() for entry in ",".join(values).split(",")]
    return tuple(dict.fromkeys(part.lower() for part in ids[:-1] if part))
