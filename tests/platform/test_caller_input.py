"""Odd bytes from callers, over real sockets: they get a 4xx with the value."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json

import pytest

from aspenbridge.platform._parameters import MAX_SHOWN_CHARACTERS
from tests.platform.test_ingress import job_body, run_with_host
from tests.support.raw_callers import connection, read_response

DEADLINE = "X-Aspenbridge-Deadline-Ms"
WAIT = "X-Aspenbridge-Wait-Ms"
RESUME = "Last-Event-Id"
ATTEMPT = "X-Aspenbridge-Attempt-Id"
NO_NUMBERS = (
    *("", "²", "٣", "nan", "inf", "1e999", "-1", "+1", "0x1", "1_0", "1 0", "x"),
    "9" * 5000,
    b"\xff",
)
NO_WHOLE_NUMBERS = (*NO_NUMBERS, "1.5")
# Paths of calls, and the headers that hold a number on them.
NUMBERS = [
    *itertools.product(("/online/x", "/once/x"), [RESUME], NO_WHOLE_NUMBERS),
    *itertools.product(("/online/x", "/once/x"), [DEADLINE], NO_NUMBERS),
    *itertools.product(("/lots/j1",), [WAIT], NO_NUMBERS),
]
AFTER = ["", "x", "-1", "%C2%B2", "nan", "1e999", "1.5", "%FF", "+1", "9" * 5000]
NO_IDS = ["", "%00", "%FF", "%2F", "a%2Fb", "a%0D%0A", "a" * 300]


def encode(text) -> bytes:
    return text if isinstance(text, bytes) else text.encode()


def request(method, target, fields=(), body=b"") -> bytes:
    defaults = {"Host": "a.example", ATTEMPT: "r1", "Content-Length": str(len(body))}
    lines = [f"{method} ".encode() + encode(target) + b" HTTP/1.1"]
    for name, value in (defaults | dict(fields)).items():
        lines.append(name.encode() + b": " + encode(value))
    return b"\r\n".join([*lines, b"", body])


def shown(value) -> str:
    text = value.decode("utf-8", "surrogateescape") if value == b"\xff" else value
    return repr(text)[1 : MAX_SHOWN_CHARACTERS // 2]


async def ask(address, data):
    async with connection(address) as (reader, writer):
        writer.write(data)
        async with asyncio.timeout(5.0):
            return await read_response(reader)


def refusals(cases):
    """Play requests; return those that were not refused with their value."""
    wrong = []

    async def check(fleet, call, parts):
        for name, value, data in cases:
            reply = await ask(parts.callers, data)
            detail = json.loads(reply.body)["error"] if reply.status == 400 else ""
            right = name in detail and shown(value) in detail and len(detail) < 300
            if not right or fleet.engines.runs:
                wrong.append(f"{data[:90]!r}: {reply.status} {detail or reply.body!r}")

    run_with_host(check)
    return wrong


def test_header_that_is_no_number_is_refused_with_its_name_and_value():
    """Guards against a 500, and a default that the caller did not ask for."""
    assert not refusals(
        (name, value, request("GET" if "lots" in path else "POST", path, {name: value}))
        for path, name, value in NUMBERS
    )


@pytest.mark.parametrize("path", ["/online/x", "/once/x"])
def test_header_that_is_no_text_is_refused_before_an_engine_is_asked(path):
    """Guards against a 502, which says that the request may have run."""
    field = {"X-Other": b"\xff"}
    assert not refusals([("X-Other", b"\xff", request("POST", path, field))])


def test_query_that_is_no_position_is_refused_with_its_name_and_value():
    assert not refusals(
        (
            "after",
            "" if value[:1] in "%+" else value,
            request("GET", f"/lots/j1?after={value}"),
        )
        for value in AFTER
    )


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_path_with_an_odd_job_id_is_refused(method):
    paths = ("/lots/", "/items/") if method == "GET" else ("/lots/",)
    assert not refusals(
        (
            "job id",
            "" if "%" in value else value,
            request(method, f"{path}{value}?id=a"),
        )
        for path, value in itertools.product(paths, NO_IDS)
    )


def test_item_call_without_an_item_id_is_refused():
    assert not refusals(
        ("id", "", request("GET", f"/items/j1{query}")) for query in ("", "?id=", "?a")
    )


def item(**changes):
    body = base64.b64encode(b"b").decode()
    fields = {"id": "i", "path": "/batch/i", "headers": {}, "body": body, "tokens": 3}
    return {k: v for k, v in (fields | changes).items() if v is not ...}


def submission(*items) -> bytes:
    return json.dumps({"requests": items}).encode()


DEEP = b'{"requests":' + b"[" * 100_000
NO_ITEMS = [
    *(item(**{field: odd}) for field in item() for odd in (None, True, 1.5, [], {})),
    *(item(**{field: ...}) for field in ("id", "path", "body")),
    *(item(id=odd) for odd in ("", "a\r\nb", "a\n", "é", " a", "x" * 300, 5)),
    *(
        item(path=odd)
        for odd in ("", "x", "@10.0.0.1/x", "/a b", "/a\r\nb", "/a\n", "/a#b")
    ),
    *(item(headers={odd: "a"}) for odd in ("", "a b", "a:", "é", "a\r\nb", "a\n")),
    *(item(headers={"a": odd}) for odd in ("a\r\nb", "a\n", "\0", None, [], {})),
    *(item(body=odd) for odd in ("Y", "YQ", "-_-_", "é", "Y Q==", 5)),
    *(item(tokens=odd) for odd in (-1, "3", 10**30)),
]
NO_ITEMS.remove(item(headers={}))


NO_SUBMISSIONS = [
    *(("j", submission(fields), "$.requests[0]") for fields in NO_ITEMS),
    *((odd, job_body("a"), ATTEMPT) for odd in ("", "a/b", "é", "a" * 300)),
    ("j", job_body("a", "b", "a"), "'a'"),
    ("j", job_body(*map(str, range(201))), "200"),
    ("j", submission(), "$.requests"),
    ("j", DEEP, "$.requests"),
    ("j", job_body("a")[:-1] + b',"other":' + b'{"a":' * 100_000, "recursion"),
    ("j", b'{"requests":"\xff"}', "$.requests"),
    ("j", b'{"requests":[{"id":"\\ud800"}]}', "truncated"),
]


def test_invalid_submission_is_refused_with_the_place_of_the_fault():
    assert not refusals(
        (word, "", request("POST", "/batch/j", {ATTEMPT: job_id}, body))
        for job_id, body, word in NO_SUBMISSIONS
    )


PROPER = [
    *(("POST", "/online/x", {DEADLINE: value}) for value in ("0", "900.5", "9" * 15)),
    *(("POST", "/online/x", {RESUME: value}) for value in ("0", "007")),
    *(("GET", "/lots/j1", {WAIT: value}) for value in ("0", "10.25")),
    *(("GET", f"/lots/{path}", {}) for path in ("j1?after=9", "%6A1", "j1?other=x")),
    ("POST", "/batch/j", {}),
]


@pytest.mark.parametrize(("method", "target", "fields"), PROPER)
def test_proper_value_is_not_refused(method, target, fields):
    async def check(fleet, call, parts):
        submitted = request("POST", "/batch/j", {ATTEMPT: "j1"}, job_body("a"))
        assert (await ask(parts.callers, submitted)).status == 202
        reply = await ask(
            parts.callers, request(method, target, fields, job_body("b", "c"))
        )
        assert reply.status < 400 or fields == {DEADLINE: "0"}
        assert reply.status != 400

    run_with_host(check)


ROUTES = [
    *(("POST", f"/{path}/x") for path in ("online", "once", "batch", "nowhere")),
    *(("GET", path) for path in ("/lots/j", "/items/j?id=a", "/lots/", "/")),
    ("DELETE", "/lots/j"),
]
ODD_BYTES = [b"", b"\xff", b"\xc2\xb2", b"%ff", b"%00", b"[", b"9" * 5000, b"a:b:c"]
FIELDS = ["Host", ATTEMPT, DEADLINE, WAIT, RESUME, "Accept", "Expect", "Connection"]


def test_no_bytes_of_a_caller_are_answered_with_500():
    """Each route with each odd value in each place where a value may stand."""
    cases = [
        *(
            request(method, target, {field: odd})
            for (method, target), field, odd in itertools.product(
                ROUTES, FIELDS, ODD_BYTES
            )
        ),
        *(
            request(method, target.encode() + before + odd)
            for (method, target), before, odd in itertools.product(
                ROUTES, (b"", b"?", b"?after=", b"?id=", b"#"), ODD_BYTES
            )
        ),
        *(request(m, t) for m, t in [("GET", "*"), ("GET", "//"), ("GET", "http://[")]),
        *(
            request("POST", target, body=body)
            for (_, target), body in itertools.product(ROUTES, [*ODD_BYTES, DEEP])
        ),
    ]
    failed = []

    async def check(fleet, call, parts):
        for group in (cases[n : n + 50] for n in range(0, len(cases), 50)):
            replies = await asyncio.gather(*(ask(parts.callers, c) for c in group))
            failed.extend(
                f"{data[:90]!r}: {reply.status} {reply.body[:90]!r}"
                for data, reply in zip(group, replies, strict=True)
                if reply.status in (0, 500)
            )

    run_with_host(check)
    assert not failed
