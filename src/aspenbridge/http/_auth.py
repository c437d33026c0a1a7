"""
Authentication by API key.

A key has the form ``name.secret``; the configuration holds a salted hash of
the secret. Hashes are compared in constant time, and an unknown name is
checked against a dummy digest, so that the response time does not reveal which
names exist.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

import attrs

from aspenbridge.result_codes import Problem, ResultCode

if TYPE_CHECKING:
    from sanic import Request

    from aspenbridge.configuration import View

BEARER_SCHEME = "bearer "
NAME_SECRET_SEPARATOR = "."
DUMMY_SALT = "00"
# As long as a real digest, so that the comparison takes the same time.
DUMMY_DIGEST = "0" * 128


@attrs.frozen
class Caller:
    """The authenticated sender of a request: the kind of key and its name."""

    kind: str
    name: str


def key_digest(salt: str, secret: str) -> str:
    """Return the salted hash under which a random secret is stored."""
    digest = hashlib.blake2b(
        secret.encode(errors="surrogateescape"), salt=bytes.fromhex(salt)
    )
    return digest.hexdigest()


def authenticate(
    request: Request, view: View, kind: str, *, bootstrap: str = ""
) -> Caller:
    """
    Return the sender of a request, from the key in its bearer token.

    :param kind: the kind of key to accept, ``customer`` or ``operator``.
    :param bootstrap: an operator as ``name:salt:digest``, valid only while no
        operator is configured.
    :raises ProblemError: when the key is missing or wrong.
    """
    header: str = request.headers.get("authorization", "")
    scheme, token = header[: len(BEARER_SCHEME)], header[len(BEARER_SCHEME) :]
    name, _, secret = token.strip().partition(NAME_SECRET_SEPARATOR)
    salt, expected_digest = _stored_key(view, kind, name, bootstrap)
    matches = hmac.compare_digest(key_digest(salt, secret), expected_digest)
    if not matches or scheme.lower() != BEARER_SCHEME:
        detail = f"the request carries no valid {kind} key"
        raise Problem(ResultCode.UNAUTHENTICATED, detail).error()
    return Caller(kind, name)


def _stored_key(view: View, kind: str, name: str, bootstrap: str) -> tuple[str, str]:
    key_owner = view.find(kind, name)
    if key_owner is not None:
        spec = key_owner.spec
        return spec.get("key_salt", DUMMY_SALT), spec.get("key_digest", DUMMY_DIGEST)
    bootstrap_name, _, salt_and_digest = bootstrap.partition(":")
    if (
        kind == "operator"
        and bootstrap_name
        and bootstrap_name == name
        and not view.all_of(kind)
    ):
        salt, _, digest = salt_and_digest.partition(":")
        return salt, digest
    return DUMMY_SALT, DUMMY_DIGEST
