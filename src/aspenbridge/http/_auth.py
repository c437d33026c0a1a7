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

SCHEME = "Bearer "
SEPARATOR = "."
NO_SALT = "00"


@attrs.frozen
class Caller:
    """Who sent a request."""

    kind: str
    name: str


def key_digest(salt: str, secret: str) -> str:
    """Return the stored form of a random secret."""
    digest = hashlib.blake2b(secret.encode(), salt=bytes.fromhex(salt))
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
    header = request.headers.get("authorization", "")
    name, _, secret = header.removeprefix(SCHEME).partition(SEPARATOR)
    salt, expected = _stored_key(view, kind, name, bootstrap)
    if not hmac.compare_digest(key_digest(salt, secret), expected):
        detail = f"the request carries no valid {kind} key"
        raise Problem(ResultCode.UNAUTHENTICATED, detail).error()
    return Caller(kind, name)


def _stored_key(view: View, kind: str, name: str, bootstrap: str) -> tuple[str, str]:
    item = view.find(kind, name)
    if item is not None:
        return item.spec["key_salt"], item.spec["key_digest"]
    first, _, key = bootstrap.partition(":")
    if kind == "operator" and first and first == name and not view.all_of(kind):
        salt, _, digest = key.partition(":")
        return salt, digest
    return NO_SALT, ""
