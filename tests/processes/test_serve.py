"""A host as a process: one thread, and a shutdown that cuts no stream."""

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

TOKENS = 150  # about two seconds of the stand-in engine


def open_stream(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30.0)
    messages = [{"role": "user", "content": "hi"}]
    body = {"model": "coder", "messages": messages, "max_tokens": TOKENS}
    headers = {"authorization": "Bearer ann.secret"}
    path = "/v1/chat/completions"
    connection.request("POST", path, json.dumps({**body, "stream": True}), headers)
    response = connection.getresponse()
    return response, response.readline()


def test_stream_ends_whole_when_its_host_is_told_to_stop(tmp_path) -> None:
    with Deployment(tmp_path) as deployment:
        process, port = deployment.host("one")
        deployment.configure(port)
        response, _ = open_stream(port)
        shape = thread_count(process.pid), children_of(process.pid)
        uring = [name for name in open_files(process.pid) if "uring" in name]
        process.send_signal(signal.SIGTERM)
        while request(port, "GET", "/health/ready")[0] == 200:
            pass
        status, live = request(port, "GET", "/health/live")
        lines = response.read().splitlines()
        code = process.wait(30.0)
    assert (shape, uring) == ((1, ""), [])
    assert (status, live["state"]) == (200, "leaving")
    assert lines[-2] == b"data: [DONE]"
    assert b'"finish_reason":"stop"' in lines[-4]
    assert code == 0


def test_hosts_stay_up_when_they_probe_each_other(tmp_path) -> None:
    with Deployment(tmp_path) as deployment:
        hosts = [deployment.host(name) for name in ("one", "two", "three")]
        deployment.configure(hosts[0][1])
        deployment.list_hosts()
        for process, port in hosts:
            wait_for(lambda port=port, process=process: meets(process, port, 2))
        codes = [process.poll() for process, _ in hosts]
    assert codes == [None, None, None]


def meets(process, port, count) -> bool:
    assert process.poll() is None, process.returncode
    _, status = request(port, "GET", "/admin/v1/status", key="root.secret")
    return len(status["members"]) == count
