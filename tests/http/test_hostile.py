"""Hostile requests get a numbered 4xx and harm nobody."""

from __future__ import annotations

import asyncio
import json

from aspenbridge.result_codes import ResultCode
from tests.support.http_host import run_http

CHAT = "/v1/chat/completions"
GOOD = {"model": "coder", "messages": [{"role": "user", "content": "hi"}]}
GOOD["max_tokens"] = 2


def changed(**values):
    return json.dumps({**GOOD, **values}).encode()


BODIES = {
    "bad utf-8": (b'{"model": "\xff\xfe", "messages": []}', "MALFORMED_BODY"),
    "not json": (b"{", "MALFORMED_BODY"),
    "empty": (b"", "MALFORMED_BODY"),
    "deep": (b'{"model":' * 3_000 + b"1", "TOO_LARGE"),
    "deep within the limit": (b"[" * 19_000, "MALFORMED_BODY"),
    "deep unknown field": (b'{"x":' + b"[" * 19_000, "MALFORMED_BODY"),
    "huge": (changed(model="x" * 30_000), "TOO_LARGE"),
    "wrong type": (changed(messages=3), "MALFORMED_BODY"),
    "lone surrogate": (b'{"model":"\\ud800","messages":[]}', "MALFORMED_BODY"),
    "negative": (changed(max_tokens=-1), "INVALID_PARAMETER"),
    "float": (changed(max_tokens=1.5), "MALFORMED_BODY"),
    "large number": (changed(max_tokens=10**30), "INVALID_PARAMETER"),
    "boolean": (changed(max_tokens=True), "MALFORMED_BODY"),
    "no messages": (changed(messages=[]), "INVALID_PARAMETER"),
    "image": (
        changed(messages=[{"role": "user", "content": [{"type": "image_url"}]}]),
        "INVALID_PARAMETER",
    ),
    "two answers": (changed(n=2), "INVALID_PARAMETER"),
    "unknown model": (changed(model="nothing"), "UNKNOWN_MODEL"),
}


def test_chat_answers_a_numbered_4xx_when_the_body_is_hostile() -> None:
    async def scenario(http):
        wrong = {}
        for name, (body, code) in BODIES.items():
            status, reply = await http.send("POST", CHAT, data=body)
            if not (400 <= status < 500 and reply["code"] == ResultCode[code]):
                wrong[name] = status, reply
            assert reply["execution"] == "not run"
        status, _ = await http.send("POST", CHAT, data=changed())
        return wrong, status

    assert run_http(scenario) == ({}, 200)


def test_request_is_refused_when_its_body_comes_too_slowly() -> None:
    async def body():
        yield b"{"
        await asyncio.sleep(30.0)

    async def scenario(http):
        slow = asyncio.create_task(http.send("POST", CHAT, data=body()))
        status, _ = await http.send("POST", CHAT, data=changed())
        return status, await slow

    status, (slow_status, reply) = run_http(scenario)
    assert status == 200
    assert (slow_status, reply["code"]) == (408, ResultCode.BODY_TOO_SLOW)


def test_request_is_refused_when_a_header_is_too_large() -> None:
    async def scenario(http):
        return await http.send("GET", "/v1/models", headers={"x-large": "x" * 40_000})

    status, reply = run_http(scenario)
    assert (status, reply["code"]) == (413, ResultCode.TOO_LARGE)


KEYS = [None, "", "ann", "ann.", "ann.two", "nobody.one", ".", "ann.\x80", "x" * 9_000]


def test_request_is_refused_when_its_key_is_wrong() -> None:
    async def scenario(http):
        return [await http.send("GET", "/v1/models", key=key) for key in KEYS]

    for status, reply in run_http(scenario):
        assert (status, reply["code"]) == (401, ResultCode.UNAUTHENTICATED)


LINE = {"custom_id": "a", "body": {**GOOD}}
FILES = {
    "duplicate": ([LINE, LINE], "DUPLICATE_CUSTOM_ID"),
    "negative": (
        [{"custom_id": "a", "body": {**GOOD, "max_tokens": -3}}],
        "MALFORMED_BODY",
    ),
    "no body": ([{"custom_id": "a"}], "MALFORMED_BODY"),
    "list": ([[]], "MALFORMED_BODY"),
    "large item": ([{**LINE, "custom_id": "x" * 3_000}], "TOO_LARGE"),
    "large file": ([{**LINE, "custom_id": f"{n}"} for n in range(3_000)], "TOO_LARGE"),
    "nothing": ([], "MALFORMED_BODY"),
}


def test_file_is_refused_when_a_line_is_wrong() -> None:
    async def scenario(http):
        wrong = {}
        for name, (lines, code) in FILES.items():
            body = "\n".join(json.dumps(line) for line in lines).encode()
            status, reply = await http.send("POST", "/v1/files", data=body)
            if not (400 <= status < 500 and reply["code"] == ResultCode[code]):
                wrong[name] = status, reply
        status, reply = await http.send("POST", "/v1/files", data=b'\xff{"')
        return wrong, status, reply["code"]

    assert run_http(scenario) == ({}, 400, ResultCode.MALFORMED_BODY)


def test_coding_is_refused_when_its_idempotency_key_is_wrong() -> None:
    async def scenario(http):
        return [
            await http.send(
                "POST", "/v1/coding", data=changed(), headers={"idempotency-key": key}
            )
            for key in ("", "x" * 300, "é")
        ]

    for status, reply in run_http(scenario):
        assert (status, reply["code"]) == (400, ResultCode.INVALID_PARAMETER)


def test_unexpected_error_becomes_a_numbered_problem_when_a_handler_fails() -> None:
    async def scenario(http):
        http.host.view.engines = None
        return await http.send("GET", "/v1/models")

    status, reply = run_http(scenario)
    assert (status, reply["code"]) == (500, ResultCode.INTERNAL_ERROR)
    assert "Traceback" not in json.dumps(reply)
