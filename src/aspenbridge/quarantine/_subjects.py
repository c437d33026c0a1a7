"""What the crashes under a run may be blamed on: the request, or its parts."""

from __future__ import annotations

import re

import attrs
import xxhash

PART_PREFIX = "part-"
SHORT_PART = re.compile(r"[0-9a-z]{1,32}")


def request_fingerprint(method: str, host: str, target: str, body: bytes) -> str:
    """
    Return a hash of what an engine is asked to do.

    A resend has another id, deadline and resume position, so none of them is
    included. The query counts only for a request without a body, which has
    nothing else to tell it apart.

    :param host: the virtual host, which stands for the caller.
    :param target: path and query.
    """
    subject = target if not body else target.partition("?")[0]
    hasher = xxhash.xxh3_64("\0".join((method, host, subject, "")).encode())
    hasher.update(body)
    return hasher.hexdigest()


def part_key(part_id: str) -> str:
    """Return the key of a part; an id that is no short word is hashed."""
    if SHORT_PART.fullmatch(part_id):
        return PART_PREFIX + part_id
    return f"{PART_PREFIX}x.{xxhash.xxh3_64_hexdigest(part_id.encode())}"


def is_part(key: str) -> bool:
    """Whether a key names a part of a prompt, not a whole request."""
    return key.startswith(PART_PREFIX)


@attrs.frozen
class RunSubjects:
    """
    The keys of what a run may be blamed for, most specific first.

    ``request`` is a fingerprint; it is empty for a batch item, which is owed
    after any number of crashes. ``parts`` holds the keys of the parts of the
    prompt that other requests may share, in their order. ``tag`` tells the
    runs of a request or an item, repeats included, from those of others.
    """

    request: str
    parts: tuple[str, ...] = ()
    tag: int = 0

    @property
    def keys(self) -> tuple[str, ...]:
        """All keys."""
        return (self.request, *self.parts) if self.request else self.parts


def run_subjects(
    fingerprint: str, prompt_parts: tuple[str, ...], *, owed: bool = False
) -> RunSubjects:
    """
    Return the subjects of a run.

    :param prompt_parts: ids of the parts that other requests may share.
    :param owed: whether it is a batch item.
    """
    parts = tuple(map(part_key, prompt_parts))
    tag = xxhash.xxh32_intdigest(fingerprint.encode()) or 1
    return RunSubjects("" if owed else fingerprint, parts, tag)
