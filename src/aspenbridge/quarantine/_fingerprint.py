"""The fingerprint that a request and all of its resends share."""

from __future__ import annotations

import xxhash


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
