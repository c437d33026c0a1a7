"""API keys: salted hashes, compared in constant time."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

import attrs

from aspenbridge.result_codes import Problem, ResultCode

if TYPE_CHECKING:
    from sanic import Request

    from aspenbridge.configuration import View

SCHEME = "bearer "
SEPARATOR = "."
NO_SALT = "00"
NO_DIGEST = "0" * 128  # as long as a real one, so that both take as long


@attrs.frozen
class Caller:
    """Who sent a request."""

    kind: str
    name: str


def key_digest(salt: str, secret: str) -> str:
    """Return the stored form of a random secret."""
    digest = hashlib.blake2b(
        secret.encode(errors="surrogateescape"), salt=bytes.fromhex(salt)
    )
    return digest.hexdigest()


def authenticate(
    request: Request, view: View, kind: str, *, bootstrap: str = ""
) -> Caller:
    """
    Return who sent a request.

    :param kind: ``customer`` or ``operator``; keys read ``name.secret``.
    :param bootstrap: the first operator, valid while none is configured.
    :raises ProblemError: when the key is missing or wrong.
    """
    header: str = request.headers.get("authorization", "")
    scheme, token = header[: len(SCHEME)], header[len(SCHEME) :]
    name, _, secret = token.strip().partition(SEPARATOR)
    salt, expected = _stored_key(view, kind, name, bootstrap)
    matches = hmac.compare_digest(key_digest(salt, secret), expected)
    if not matches or scheme.lower() != SCHEME:
        detail = f"the request carries no valid {kind} key"
        raise Problem(ResultCode.UNAUTHENTICATED, detail).error()
    return Caller(kind, name)


def _stored_key(view: View, kind: str, name: str, bootstrap: str) -> tuple[str, str]:
    item = view.find(kind, name)
    if item is not None:
        spec = item.spec
        return spec.get("key_salt", NO_SALT), spec.get("key_digest", NO_DIGEST)
    first, _, key = bootstrap.partition(":")
    if kind == "operator" and first and first == name and not view.all_of(kind):
        salt, _, digest = key.partition(":")
        return salt, digest
    return NO_SALT, NO_DIGEST
