"""
Decoding of the platform's messages, and rejection of invalid ones.

Engine rows may be written by other programs, so any field may be invalid.
"""

from __future__ import annotations

import base64
import json

import pytest

from aspenbridge.fleet import CallKind
from aspenbridge.jobs import ItemResult, ResultPage
from aspenbridge.platform._decode import (
    MessageError,
    decode_configuration,
    decode_engine,
    decode_submission,
    encode_results,
)
from aspenbridge.platform._settings import SettingsError, load_entry_settings
from tests.support.platform_standins import SETTINGS

ENGINE = {
    "service": "llm",
    "addr": "10.0.0.9:8080",
    "zone": "a-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 4,
}
ROUTE = {
    "name": "r-1",
    "host": "A.example",
    "prefix": "/a/",
    "routeKind": "streaming",
    "timeoutMs": 5000,
    "latencyGoalMs": 300,
    "priority": 0,
    "service": "llm",
    "maxAttempts": 2,
    "resumable": True,
    "gapTargetMs": 300,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def configuration(**route):
    fields = {"version": 7, "routes": [ROUTE | route], "limits": LIMITS}
    return decode_configuration(json.dumps(fields).encode())


def test_route_is_decoded_into_seconds_and_kinds():
    route = configuration().routes[0]
    assert (route.host, route.kind) == ("a.example", CallKind.STREAMING)
    assert (route.request_limit_s, route.latency_goal_s) == (5.0, 0.3)
    assert route.repeatable
    assert route.targets[0].service == "llm"


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        ("streaming", False, False),
        ("idempotent", False, True),
        ("non_idempotent", False, False),
    ],
)
def test_route_kind_determines_whether_a_request_is_repeatable(
    kind, resumable, repeatable
):
    route = configuration(routeKind=kind, resumable=resumable).routes[0]
    assert route.repeatable is repeatable


@pytest.mark.parametrize(
    ("fields", "limit_tokens"),
    [({}, 0), ({"maxCount": None}, 0), ({"maxCount": 0}, 0), ({"maxCount": 7}, 7)],
)
def test_route_has_no_token_limit_unless_one_is_given(fields, limit_tokens):
    assert configuration(**fields).routes[0].max_waiting_tokens == limit_tokens


@pytest.mark.parametrize("value", [-1, 1.5, "7", True, [7], 2**60])
def test_invalid_token_limit_is_rejected_with_its_value_and_route(value):
    with pytest.raises(MessageError) as raised:
        configuration(routeKind="batch", maxCount=value)
    assert repr(value) in str(raised.value)
    assert "r-1" in str(raised.value)


def test_split_route_keeps_its_weights():
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    targets = configuration(split=split).routes[0].targets
    assert [(t.service, t.weight) for t in targets] == [("a", 90.0), ("b", 10.0)]


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"version": 1}', b"\xff"])
def test_invalid_configuration_is_rejected(value):
    with pytest.raises(MessageError):
        decode_configuration(value)


def test_engine_is_decoded():
    engine = decode_engine("i-1", json.dumps(ENGINE).encode())
    assert (engine.id, engine.address, engine.slots) == ("i-1", "10.0.0.9:8080", 8)
    assert not engine.draining


@pytest.mark.parametrize(
    "changed_field",
    [
        {"state": "resting"},
        {"state": None},
        {"slots": "8"},
        {"slots": 0},
        {"slots": True},
        {"addr": 8080},
        {"addr": "10.0.0.9"},
        {"service": ""},
        {"service": 5},
        {"zone": None},
        {"coldLeftMs": "soon"},
        {"born": "x"},
        {"born": 1.5},
        {"born": -1},
        {"born": 2**60},
        {"coldLeftMs": True},
        {"slots": 10**9},
        {"service": "a\nb"},
        {"zone": "\x00"},
        {"seq": "4"},
        {"seq": None},
        {"version": ["v1"]},
        {"version": None},
        {"coldLeftMs": None},
        {"born": None},
        {"stage": 1},
        {"models": {}},
        {"models": ["m"]},
        *(
            {"addr": addr}
            for addr in (
                "10.0.0.9:65536",
                "10.0.0.9:-1",
                "10.0.0.9:0",
                "10.0.0.9:+80",
                "10.0.0.9: 80",
                "10.0.0.9:8_0",
                "10.0.0.9:８０",
                "10.0.0.9:080",
                "10.0.0.9:",
                "10.0.0.9:80\n",
                "10.0.0.9\r\nX: y:80",
                "10.0.0:80",
                "10.0.0.256:80",
                "010.0.0.9:80",
                "0x0a000009:80",
                "engine.example:80",
                "user@10.0.0.9:80",
                "10.0.0.9/x:80",
                "10.0.0.9:80:80",
                "0.0.0.0:80",
                "224.0.0.1:80",
                "255.255.255.255:80",
                "::1:80",
                "[::]:80",
                "[fe80::1%eth0]:80",
                "",
            )
        ),
    ],
)
def test_engine_row_with_an_invalid_field_is_rejected(changed_field):
    with pytest.raises(MessageError):
        decode_engine("i-1", json.dumps(ENGINE | changed_field).encode())


# Guards against an entry of another writer that is taken for an engine.
@pytest.mark.parametrize("name", list(ENGINE))
def test_engine_row_without_a_field_that_engines_write_is_rejected(name):
    row = {key: value for key, value in ENGINE.items() if key != name}
    with pytest.raises(MessageError):
        decode_engine("i-1", json.dumps(row).encode())


@pytest.mark.parametrize("engine_id", ["", "a b", "a\nb", "ä", "x" * 201])
def test_engine_whose_id_no_header_can_hold_is_rejected(engine_id):
    with pytest.raises(MessageError):
        decode_engine(engine_id, json.dumps(ENGINE).encode())


@pytest.mark.parametrize(
    ("fields", "address"),
    [
        ({}, "10.0.0.9:8080"),
        ({"born": 5, "stage": "both", "models": [{"name": "m"}]}, "10.0.0.9:8080"),
        ({"coldLeftMs": 1.5, "version": 3, "more": {}}, "10.0.0.9:8080"),
        ({"addr": "127.0.0.1:65535", "coldLeftMs": -3}, "127.0.0.1:65535"),
        ({"addr": "[fd00::9]:1", "slots": 1}, "[fd00::9]:1"),
    ],
)
def test_engine_row_is_usable_whatever_else_it_says(fields, address):
    engine = decode_engine("i-1", json.dumps(ENGINE | fields).encode())
    assert engine.address == address
    assert engine.warm_up_s >= 0


NESTED = b"[" * 4096 + b"]" * 4096
HUGE_NUMBER = b"9" * 400


# Guards against rows whose errors are no ValueError, and end who reads them.
@pytest.mark.parametrize(
    "field", [b'"more": ' + NESTED, b'"coldLeftMs": ' + HUGE_NUMBER]
)
def test_engine_row_that_no_parser_can_read_is_rejected(field):
    row = json.dumps(ENGINE).encode()
    with pytest.raises(MessageError):
        decode_engine("i-1", row[:-1] + b", " + field + b"}")


# Guards against the same of a configuration.
@pytest.mark.parametrize(
    "value", [NESTED, b'{"version": 1, "routes": [], "limits": ' + NESTED + b"}"]
)
def test_configuration_that_no_parser_can_read_is_rejected(value):
    with pytest.raises(MessageError):
        decode_configuration(value)


# Guards against values that end a host only where they are used: a name that
# its job heads store, weights among which no service can be drawn.
@pytest.mark.parametrize(
    "fields",
    [
        {"host": 5},
        {"name": 5},
        {"prefix": None},
        {"service": 5},
        {"service": None},
        {"split": [{"service": "a", "weight": 0}]},
        {"split": [{"service": "a", "weight": 2}, {"service": "b", "weight": -1}]},
        {"split": [{"service": 5, "weight": 1}]},
        {"split": "a"},
        {"routeKind": "other"},
        {"maxAttempts": "many"},
        {"timeoutMs": 10**400},
        {"timeoutMs": -1},
        {"retainS": 10**300},
    ],
)
def test_configuration_with_a_value_of_another_kind_is_rejected(fields):
    with pytest.raises(MessageError):
        configuration(**fields)


@pytest.mark.parametrize("value", [b"", b"null", b"\xff\xfe", b"[1]", b"{}"])
def test_engine_row_that_is_not_a_json_object_is_rejected(value):
    with pytest.raises(MessageError):
        decode_engine("i-1", value)


def test_submission_keeps_target_headers_and_body_of_an_item():
    item = {
        "id": "x",
        "path": "/a/1?b=c",
        "headers": {"Some-Header": "1,2"},
        "body": base64.b64encode(b"\x00\xff").decode(),
        "tokens": 5,
    }
    body = json.dumps({"requests": [item]}).encode()
    submission = decode_submission("j", "a.example", body)
    assert submission.items[0].target == "/a/1?b=c"
    assert submission.items[0].tokens == submission.tokens == 5
    assert submission.items[0].headers == (("Some-Header", "1,2"),)
    assert submission.items[0].body == b"\x00\xff"


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"requests": []}', b'{"requests": [{"id": "x"}]}']
)
def test_invalid_submission_is_rejected(body):
    with pytest.raises(MessageError):
        decode_submission("j", "a.example", body)


def test_results_contain_the_next_position():
    page = ResultPage(9, 4, (ItemResult("x", "a\nb"), ItemResult("y", None)))
    assert json.loads(encode_results(page)) == {
        "total": 9,
        "nextToken": 6,
        "results": [
            {"id": "x", "state": "completed", "text": "a\nb"},
            {"id": "y", "state": "dead_letter", "text": ""},
        ],
    }


def test_settings_error_names_the_missing_key_or_the_file(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text('nodeName = "h"\n')
    with pytest.raises(SettingsError, match="'listen'"):
        load_entry_settings(path)
    path.write_text("no toml")
    with pytest.raises(SettingsError, match=r"node\.toml"):
        load_entry_settings(path)


SETTINGS_TEXT = SETTINGS.format(
    name="h1",
    ip="127.0.0.1",
    callers=1,
    ready=2,
    peers=3,
    drain_ms=3000,
    stop_s=8,
    results_kept_s=120,
    store="127.0.0.1:4",
)


# Guards against a changed file that ends the host which reloads it.
@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('"127.0.0.1:4"', '"127.0.0.1:65536"'),
        ('"127.0.0.1:4"', '"127.0.0.1:0"'),
        ('"127.0.0.1:4"', '"store.example:4"'),
        ('"127.0.0.1:4"', "4"),
        ("rowBytes = 65536", "rowBytes = inf"),
        ("portRange = [3,3]", "portRange = 3"),
        ('[zones]\na-1 = "a"', "zones = 5"),
        ("[limits]", "deep = " + "[" * 4000 + "]" * 4000 + "\n[limits]"),
    ],
)
def test_settings_with_an_odd_value_are_rejected(tmp_path, old, new):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS_TEXT)
    assert load_entry_settings(path).store.port == 4
    assert old in SETTINGS_TEXT
    path.write_text(SETTINGS_TEXT.replace(old, new))
    with pytest.raises(SettingsError):
        load_entry_settings(path)
