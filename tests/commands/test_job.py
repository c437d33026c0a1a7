"""Runs the job commands against a host on loopback."""

from __future__ import annotations

import asyncio
import json

import pytest
from cleo.testers.command_tester import CommandTester

from aspenbridge.commands import application
from aspenbridge.commands._client import ApiClient
from tests.support.http_host import run_http

UNREACHABLE_URL = "http://127.0.0.1:9"


def write_items(tmp_path, count, model="coder"):
    messages = [{"role": "user", "content": "hi"}]
    body = {"model": model, "messages": messages, "max_tokens": 2}
    lines = [
        json.dumps({"custom_id": f"c{number}", "body": body}) for number in range(count)
    ]
    path = tmp_path / "items.jsonl"
    path.write_text("\n".join(lines))
    return path


async def run_command(http, name, arguments, key="ann.one"):
    """Run the calls of a command on the event loop of the host."""
    command = application().find(name)
    tester = CommandTester(command)
    # The real handle() starts an event loop, which can't run inside this one.
    command.handle = lambda: 0
    tester.execute(arguments)
    async with ApiClient(f"{UNREACHABLE_URL},{http.url}", key) as client:
        code = await command.perform(client)
    return code, tester.io.fetch_output()


@pytest.mark.parametrize(("model", "expected"), [("coder", 0), ("nothing", 1)])
def test_job_is_submitted_watched_and_fetched(tmp_path, model, expected) -> None:
    path = write_items(tmp_path, 3, model)

    async def scenario(http):
        code, job_id = await run_command(
            http, "job submit", f"{path} --label night=yes"
        )
        watched, text = await run_command(http, "job watch", f"{job_id.strip()} --json")
        target = tmp_path / "results.jsonl"
        fetched, _ = await run_command(
            http, "job results", f"{job_id.strip()} -o {target}"
        )
        return code, watched, json.loads(text), fetched, target.read_text()

    code, watched, job, fetched, text = run_http(scenario)
    assert (code, watched, fetched) == (0, expected, 0)
    assert job["request_counts"]["total"] == 3
    assert job["metadata"] == {"night": "yes"}
    results = [json.loads(line) for line in text.splitlines()]
    assert sorted(result["custom_id"] for result in results) == ["c0", "c1", "c2"]


def test_exit_code_differs_when_refused_and_when_unreachable() -> None:
    async def scenario(http):
        def execute(url, key):
            tester = CommandTester(application().find("job cancel"))
            return tester.execute(f"job-x --url {url} --key {key}")

        loop = asyncio.get_running_loop()
        return [
            await loop.run_in_executor(None, execute, url, key)
            for url, key in ((http.url, "ann.wrong"), (UNREACHABLE_URL, "ann.one"))
        ]

    assert run_http(scenario) == [6, 4]
