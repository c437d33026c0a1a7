"""
The bootstrap operator, and duplicate names in a configuration change.

Guards against a bootstrap key that stays valid once an operator is configured,
and against a change in which a JSON decoder silently keeps the last of two
fields of one name.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from aspenbridge.configuration import ConfigObject, View
from aspenbridge.http._auth import authenticate, key_digest
from aspenbridge.http._operators import read_change
from aspenbridge.result_codes import ProblemError, ResultCode
from aspenbridge.settings import parse_settings

SALT = "0a" * 8
BOOTSTRAP = f"first:{SALT}:{key_digest(SALT, 'secret')}"
REQUEST = SimpleNamespace(headers={"authorization": "Bearer first.secret"})


def test_bootstrap_operator_is_accepted_when_no_operator_is_configured() -> None:
    caller = authenticate(REQUEST, View(), "operator", bootstrap=BOOTSTRAP)
    assert caller.name == "first"


def test_bootstrap_operator_is_refused_when_an_operator_is_configured() -> None:
    view = View()
    spec = {"key_salt": SALT, "key_digest": key_digest(SALT, "other")}
    view.replace(1, [ConfigObject("operator", "second", spec)])
    with pytest.raises(ProblemError, match="UNAUTHENTICATED"):
        authenticate(REQUEST, view, "operator", bootstrap=BOOTSTRAP)


def test_bootstrap_operator_is_refused_when_a_customer_key_is_required() -> None:
    with pytest.raises(ProblemError, match="UNAUTHENTICATED"):
        authenticate(REQUEST, View(), "customer", bootstrap=BOOTSTRAP)


def test_settings_are_refused_when_the_bootstrap_operator_is_malformed() -> None:
    errors = parse_settings("[configuration]\nbootstrap_operator = a:b\n").failure()
    assert errors[0].key == "bootstrap_operator"


def test_change_is_refused_when_a_label_appears_twice() -> None:
    body = (
        b'{"base_revision": 0, "put": [{"kind": "customer", "name": "a",'
        b' "spec": {}, "labels": {"tier": "gold", "tier": "tin"}}]}'
    )
    with pytest.raises(ProblemError, match="'tier' appears twice") as caught:
        read_change(body)
    assert caught.value.problem.code is ResultCode.MALFORMED_BODY
