"""
Malformed and hostile requests get a 4xx reply with a result code.

Guards against a body, header, key or file that makes the host fail, reply
with a 5xx or a traceback, or stop serving valid requests.
"""

from __future__ import annotations

import asyncio
import json

from aspenbridge.result_codes import ResultCode
from tests.support.http_host import run_http

CHAT = "/v1/chat/completions"
VALID_BODY = {"model": "coder", "messages": [{"role": "user", "content": "hi"}]}
VALID_BODY["max_tokens"] = 2


def body_with(**values):
    return json.dumps({**VALID_BODY, **values}).encode()


INVALID_BODIES = {
    "bad utf-8": (b'{"model": "\xff\xfe", "messages": []}', "MALFORMED_BODY"),
    "not json": (b"{", "MALFORMED_BODY"),
    "empty": (b"", "MALFORMED_BODY"),
    "deep": (b'{"model":' * 3_000 + b"1", "TOO_LARGE"),
    "deep within the limit": (b"[" * 19_000, "MALFORMED_BODY"),
    "deep unknown field": (b'{"x":' + b"[" * 19_000, "MALFORMED_BODY"),
    "huge": (body_with(model="x" * 30_000), "TOO_LARGE"),
    "wrong type": (body_with(messages=3), "MALFORMED_BODY"),
    "lone surrogate": (b'{"model":"\\ud800","messages":[]}', "MALFORMED_BODY"),
    "negative": (body_with(max_tokens=-1), "INVALID_PARAMETER"),
    "float": (body_with(max_tokens=1.5), "MALFORMED_BODY"),
    "large number": (body_with(max_tokens=10**30), "INVALID_PARAMETER"),
    "boolean": (body_with(max_tokens=True), "MALFORMED_BODY"),
    "no messages": (body_with(messages=[]), "INVALID_PARAMETER"),
    "image": (
        body_with(messages=[{"role": "user", "content": [{"type": "image_url"}]}]),
        "INVALID_PARAMETER",
    ),
    "two answers": (body_with(n=2), "INVALID_PARAMETER"),
    "unknown model": (body_with(model="nothing"), "UNKNOWN_MODEL"),
}


def test_chat_replies_with_a_4xx_result_code_when_the_body_is_hostile() -> None:
    async def scenario(http):
        unexpected_replies = {}
        for name, (body, code) in INVALID_BODIES.items():
            status, reply = await http.send("POST", CHAT, data=body)
            if not (400 <= status < 500 and reply["code"] == ResultCode[code]):
                unexpected_replies[name] = status, reply
            assert reply["execution"] == "not run"
        status, _ = await http.send("POST", CHAT, data=body_with())
        return unexpected_replies, status

    assert run_http(scenario) == ({}, 200)


def test_request_is_refused_when_its_body_arrives_too_slowly() -> None:
    async def body():
        yield b"{"
        await asyncio.sleep(30.0)

    async def scenario(http):
        slow = asyncio.create_task(http.send("POST", CHAT, data=body()))
        status, _ = await http.send("POST", CHAT, data=body_with())
        return status, await slow

    status, (slow_status, reply) = run_http(scenario)
    assert status == 200
    assert (slow_status, reply["code"]) == (408, ResultCode.BODY_TOO_SLOW)


def test_request_is_refused_when_a_header_is_too_large() -> None:
    async def scenario(http):
        return await http.send("GET", "/v1/models", headers={"x-large": "x" * 40_000})

    status, reply = run_http(scenario)
    assert (status, reply["code"]) == (413, ResultCode.TOO_LARGE)


INVALID_KEYS = [
    None,
    "",
    "ann",
    "ann.",
    "ann.two",
    "nobody.one",
    ".",
    "ann.\x80",
    "x" * 9_000,
]


def test_request_is_refused_when_its_key_is_wrong() -> None:
    async def scenario(http):
        return [await http.send("GET", "/v1/models", key=key) for key in INVALID_KEYS]

    for status, reply in run_http(scenario):
        assert (status, reply["code"]) == (401, ResultCode.UNAUTHENTICATED)


VALID_LINE = {"custom_id": "a", "body": {**VALID_BODY}}
INVALID_FILES = {
    "duplicate": ([VALID_LINE, VALID_LINE], "DUPLICATE_CUSTOM_ID"),
    "negative": (
        [{"custom_id": "a", "body": {**VALID_BODY, "max_tokens": -3}}],
        "MALFORMED_BODY",
    ),
    "no body": ([{"custom_id": "a"}], "MALFORMED_BODY"),
    "list": ([[]], "MALFORMED_BODY"),
    "large item": ([{**VALID_LINE, "custom_id": "x" * 3_000}], "TOO_LARGE"),
    "large file": (
        [{**VALID_LINE, "custom_id": f"{n}"} for n in range(3_000)],
        "TOO_LARGE",
    ),
    "nothing": ([], "MALFORMED_BODY"),
}


def test_file_is_refused_when_a_line_is_wrong() -> None:
    async def scenario(http):
        unexpected_replies = {}
        for name, (lines, code) in INVALID_FILES.items():
            body = "\n".join(json.dumps(line) for line in lines).encode()
            status, reply = await http.send("POST", "/v1/files", data=body)
            if not (400 <= status < 500 and reply["code"] == ResultCode[code]):
                unexpected_replies[name] = status, reply
        status, reply = await http.send("POST", "/v1/files", data=b'\xff{"')
        return unexpected_replies, status, reply["code"]

    assert run_http(scenario) == ({}, 400, ResultCode.MALFORMED_BODY)


def test_coding_is_refused_when_its_idempotency_key_is_wrong() -> None:
    async def scenario(http):
        return [
            await http.send(
                "POST", "/v1/coding", data=body_with(), headers={"idempotency-key": key}
            )
            for key in ("", "x" * 300, "é")
        ]

    for status, reply in run_http(scenario):
        assert (status, reply["code"]) == (400, ResultCode.INVALID_PARAMETER)


def test_unexpected_error_becomes_a_problem_reply_when_a_handler_fails() -> None:
    async def scenario(http):
        http.host.view.engines = None
        return await http.send("GET", "/v1/models")

    status, reply = run_http(scenario)
    assert (status, reply["code"]) == (500, ResultCode.INTERNAL_ERROR)
    assert "Traceback" not in json.dumps(reply)
