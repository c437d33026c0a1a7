"""Tests of a host process: one thread, and a shutdown that cuts no stream."""

from __future__ import annotations

import http.client
import json
import signal

from tests.support.processes import (
    Deployment,
    children_of,
    open_files,
    request,
    thread_count,
    wait_for,
)

TOKENS = 150  # the stand-in engine takes about two seconds to generate them


def open_stream(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30.0)
    messages = [{"role": "user", "content": "hi"}]
    body = {"model": "coder", "messages": messages, "max_tokens": TOKENS}
    headers = {"authorization": "Bearer ann.secret"}
    path = "/v1/chat/completions"
    connection.request("POST", path, json.dumps({**body, "stream": True}), headers)
    response = connection.getresponse()
    return response, response.readline()


def test_stream_is_complete_when_its_host_gets_sigterm(tmp_path) -> None:
    with Deployment(tmp_path) as deployment:
        process, port = deployment.host("one")
        deployment.configure(port)
        response, _ = open_stream(port)
        threads_and_children = thread_count(process.pid), children_of(process.pid)
        uring_files = [name for name in open_files(process.pid) if "uring" in name]
        process.send_signal(signal.SIGTERM)
        while request(port, "GET", "/health/ready")[0] == 200:
            pass
        live_status, health = request(port, "GET", "/health/live")
        lines = response.read().splitlines()
        exit_code = process.wait(30.0)
    assert (threads_and_children, uring_files) == ((1, ""), [])
    assert (live_status, health["state"]) == (200, "leaving")
    assert lines[-2] == b"data: [DONE]"
    assert b'"finish_reason":"stop"' in lines[-4]
    assert exit_code == 0


def test_hosts_keep_running_when_they_probe_each_other(tmp_path) -> None:
    with Deployment(tmp_path) as deployment:
        hosts = [deployment.host(name) for name in ("one", "two", "three")]
        deployment.configure(hosts[0][1])
        deployment.list_hosts()
        for process, port in hosts:
            wait_for(lambda port=port, process=process: has_members(process, port, 2))
        exit_codes = [process.poll() for process, _ in hosts]
    assert exit_codes == [None, None, None]


def has_members(process, port, count) -> bool:
    assert process.poll() is None, process.returncode
    _, status = request(port, "GET", "/admin/v1/status", key="root.secret")
    return len(status["members"]) == count
