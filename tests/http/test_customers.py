"""
The OpenAI-compatible routes serve customers and keep them apart.

Guards against mixed or incomplete answers, work that goes on after its caller
disconnected, and one customer reading another's objects or idempotency keys.
"""

from __future__ import annotations

import asyncio
import json

import aiohttp

from aspenbridge.embedded import token_text
from tests.support.http_host import run_http

CHAT = "/v1/chat/completions"
TOKENS = 6
TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def chat_body(prompt="hi", **values):
    messages = [{"role": "user", "content": prompt}]
    return {"model": "coder", "messages": messages, "max_tokens": TOKENS, **values}


def expected_text(prompt="hi"):
    return "".join(token_text(prompt, index) for index in range(TOKENS))


def batch_lines(count):
    items = [
        {"custom_id": f"c{number}", "method": "POST", "body": chat_body(f"p{number}")}
        for number in range(count)
    ]
    return "\n".join(json.dumps(item) for item in items).encode()


async def run_job(http):
    form = aiohttp.FormData()
    form.add_field("purpose", "batch")
    form.add_field("file", batch_lines(3), filename="calls.jsonl")
    _, file = await http.send("POST", "/v1/files", data=form)
    batch_request = {"input_file_id": file["id"], "completion_window": "24h"}
    batch_request["endpoint"] = CHAT
    _, job = await http.send("POST", "/v1/batches", json=batch_request)
    while job["status"] != "completed":
        await asyncio.sleep(0.05)
        _, job = await http.send("GET", f"/v1/batches/{job['id']}")
    return file, job


def test_chat_joins_text_parts_when_content_is_a_list() -> None:
    async def scenario(http):
        parts = [{"type": "text", "text": "h"}, {"type": "text", "text": "i"}]
        request = {**chat_body(parts), "temperature": 0.2, "user": "x"}
        return await http.send("POST", CHAT, json=request)

    status, reply = run_http(scenario)
    assert status == 200
    assert reply["choices"][0]["message"]["content"] == expected_text()
    assert reply["usage"]["total_tokens"] == 1 + TOKENS


def test_chat_streams_complete_answers_when_many_are_open() -> None:
    async def streams_expected_text(http, number):
        prompt = f"prompt {number}"
        _, raw = await http.send("POST", CHAT, json=chat_body(prompt, stream=True))
        events = [event for event in raw.decode().split("\n\n") if event]
        assert events[-1] == "data: [DONE]"
        deltas = [json.loads(event[6:])["choices"][0] for event in events[:-1]]
        assert deltas[-1]["finish_reason"] == "stop"
        return "".join(item["delta"]["content"] for item in deltas) == expected_text(
            prompt
        )

    async def scenario(http):
        return await asyncio.gather(
            *(streams_expected_text(http, number) for number in range(20))
        )

    assert all(run_http(scenario))


def test_generation_stops_when_the_caller_disconnects() -> None:
    async def scenario(http):
        request = chat_body(stream=True, max_tokens=20_000)
        key = {"authorization": "Bearer ann.one"}
        response = await http.session.post(http.url + CHAT, json=request, headers=key)
        await response.content.readline()
        engines = http.fleet.engines.engines.values()
        before = sum(engine.report().running for engine in engines)
        response.close()
        while sum(engine.report().running for engine in engines):
            await asyncio.sleep(0.01)
        await http.host.running.wait_idle()
        return before

    assert run_http(scenario) == 1


def test_coding_request_ends_when_its_caller_disconnects() -> None:
    async def scenario(http):
        key = {"authorization": "Bearer ann.one", "idempotency-key": "k"}
        request = http.session.post(
            http.url + "/v1/coding", json=chat_body(), headers=key
        )
        caller = asyncio.ensure_future(request)
        while not http.host.running.count:
            await asyncio.sleep(0.001)
        caller.cancel()
        await asyncio.sleep(0.01)
        await http.host.running.wait_idle()
        _, reply = await http.send("POST", "/v1/coding", json=chat_body(), headers=key)
        return reply["state"], reply["text"]

    assert run_http(scenario) == ("done", expected_text())


def test_trace_context_is_passed_back_when_the_caller_sends_one() -> None:
    async def scenario(http):
        headers = {"authorization": "Bearer ann.one", "traceparent": TRACEPARENT}
        url = http.url + "/v1/models"
        async with http.session.get(url, headers=headers) as response:
            return response.headers["traceparent"]

    assert run_http(scenario).split("-")[1] == TRACEPARENT.split("-")[1]


def test_output_file_holds_each_item_once_when_the_job_is_complete() -> None:
    async def scenario(http):
        _, job = await run_job(http)
        path = f"/v1/files/{job['output_file_id']}/content"
        return job, await http.send("GET", path)

    job, (status, raw) = run_http(scenario)
    items = [json.loads(line) for line in raw.splitlines()]
    assert (status, job["request_counts"]["completed"]) == (200, 3)
    assert sorted(item["custom_id"] for item in items) == ["c0", "c1", "c2"]
    texts = {
        item["custom_id"]: item["response"]["body"]["choices"][0]["message"]["content"]
        for item in items
    }
    assert texts["c1"] == expected_text("p1")


def test_objects_look_absent_when_another_customer_requests_them() -> None:
    async def scenario(http):
        file, job = await run_job(http)
        _, coding = await http.send("POST", "/v1/coding", json=chat_body())
        paths = [
            ("GET", "/v1/files/{}", file["id"]),
            ("GET", "/v1/batches/{}", job["id"]),
            ("POST", "/v1/batches/{}/cancel", job["id"]),
            ("GET", "/v1/batches/{}/results", job["id"]),
            ("GET", "/v1/files/{}/content", job["output_file_id"]),
            ("GET", "/v1/coding/{}", coding["id"]),
        ]
        differing = []
        for method, path, name in paths:
            absent = name[:-4] + "0000"
            foreign = await http.send(method, path.format(name), key="ben.two")
            missing = await http.send(method, path.format(absent), key="ben.two")
            digits = name[-24:], absent[-24:]
            text = json.dumps(missing).replace(digits[1], digits[0])
            if foreign[0] != 404 or json.dumps(foreign) != text:
                differing.append((path, foreign, missing))
        batch_request = {"input_file_id": file["id"]}
        reply = await http.send(
            "POST", "/v1/batches", key="ben.two", json=batch_request
        )
        return differing, reply[0]

    assert run_http(scenario) == ([], 404)


def test_idempotency_keys_are_separate_when_two_customers_use_one_key() -> None:
    async def scenario(http):
        headers = {"idempotency-key": "same"}
        replies = [
            await http.send(
                "POST", "/v1/coding", key=key, json=request, headers=headers
            )
            for key, request in (
                ("ann.one", chat_body("a")),
                ("ben.two", chat_body("b")),
                ("ann.one", chat_body("a")),
                ("ann.one", chat_body("c")),
            )
        ]
        return [(status, reply.get("text")) for status, reply in replies]

    first, other, again, changed = run_http(scenario)
    assert first == again == (200, expected_text("a"))
    assert other == (200, expected_text("b"))
    assert changed[0] == 409
