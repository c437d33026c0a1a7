"""
Tests of traces, metrics and logs.

A collector or statsd that can't be reached must not fail or delay a request.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import socket
import threading
from contextlib import AsyncExitStack

import aiohttp
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
)
from sanic import Sanic, empty

from aspenbridge.clock import SystemClock
from aspenbridge.loop import listening_socket, run_on_loop
from aspenbridge.ports import NoMetrics
from aspenbridge.settings import HostSettings, Settings, TelemetrySettings
from aspenbridge.telemetry._logs import JsonFormatter
from aspenbridge.telemetry._statsd import StatsdMetrics
from aspenbridge.telemetry._tracing import SpanQueue, make_tracer
from aspenbridge.telemetry.setup import open_telemetry
from aspenbridge.work import new_id
from tests.support.http_host import run_http

UNREACHABLE = "127.0.0.1:9"
CHAT = {
    "model": "coder",
    "messages": [{"role": "user", "content": "hi"}],
    "max_tokens": 2,
}


def test_request_and_admission_spans_share_a_trace_when_a_chat_is_traced() -> None:
    queue = SpanQueue(NoMetrics())
    tracer = make_tracer(HostSettings(), TelemetrySettings(), queue)

    async def scenario(http):
        status, _ = await http.send("POST", "/v1/chat/completions", json=CHAT)
        return status

    assert run_http(scenario, tracer=tracer) == 200
    spans = {span.name: span for span in queue.pop_batch(100)}
    request = spans["POST /v1/chat/completions"]
    admission = spans["admission"]
    assert admission.parent.span_id == request.context.span_id
    assert admission.context.trace_id == request.context.trace_id


def test_spans_are_dropped_and_counted_when_the_queue_is_full() -> None:
    queue = SpanQueue(NoMetrics(), limit=2)
    tracer = make_tracer(HostSettings(), TelemetrySettings(), queue)
    for _ in range(5):
        tracer.start_span("one").end()
    assert (len(queue.pop_batch(10)), queue.dropped) == (2, 3)


def settings_with_telemetry(endpoint, statsd=""):
    telemetry = TelemetrySettings(trace_endpoint=endpoint, statsd=statsd)
    return Settings(telemetry=telemetry)


async def send_spans(endpoint, count):
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        clock = SystemClock()
        telemetry = open_telemetry(
            stack, settings_with_telemetry(endpoint), session, clock
        )
        for number in range(count):
            telemetry.tracer.start_span(f"span {number}").end()
        await telemetry.sender.flush()
        return telemetry.sender.queue.dropped


def test_spans_reach_the_collector_when_it_listens() -> None:
    received = []

    async def main():
        app = Sanic(new_id("collector", random.Random(1)), configure_logging=False)
        app.config.TOUCHUP = False

        @app.post("/v1/traces")
        async def traces(request):
            message = ExportTraceServiceRequest.FromString(request.body)
            received.extend(message.resource_spans[0].scope_spans[0].spans)
            return empty(status=200)

        sock = listening_socket("127.0.0.1", 0)
        server = await app.create_server(sock=sock, return_asyncio_server=True)
        await server.startup()
        await server.start_serving()
        dropped = await send_spans(f"127.0.0.1:{sock.getsockname()[1]}", 3)
        server.close()
        return dropped

    assert run_on_loop(main()) == 0
    assert [span.name for span in received] == ["span 0", "span 1", "span 2"]


def test_spans_are_dropped_and_counted_when_no_collector_listens() -> None:
    threads = threading.active_count()
    assert run_on_loop(send_spans(UNREACHABLE, 3)) == 3
    assert threading.active_count() == threads


def test_statsd_sends_datagrams_when_an_address_is_given() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(5.0)
        with StatsdMetrics(f"127.0.0.1:{sock.getsockname()[1]}") as metrics:
            metrics.count("jobs", 2)
            metrics.time("call", 0.25)
            metrics.gauge("open", 7)
            lines = [sock.recv(200).decode() for _ in range(3)]
    assert lines[0] == "aspenbridge.jobs:2|c"
    assert lines[1].startswith("aspenbridge.call:250.0")
    assert lines[2] == "aspenbridge.open:7|g"


def test_statsd_raises_nothing_when_nobody_listens() -> None:
    with StatsdMetrics(UNREACHABLE) as metrics:
        for _ in range(10):
            metrics.count("jobs")
        assert metrics.dropped >= 0


def test_log_record_is_one_json_line_when_it_holds_an_exception() -> None:
    try:
        raise ValueError("two\nlines")
    except ValueError as error:
        exc_info = (type(error), error, error.__traceback__)
    record = logging.LogRecord("a", logging.ERROR, "f", 1, "%s broke", ("x",), exc_info)
    line = JsonFormatter().format(record)
    assert "\n" not in line
    assert json.loads(line)["message"] == "x broke"


def test_ports_are_unchanged_when_telemetry_is_not_configured() -> None:
    async def main():
        async with AsyncExitStack() as stack:
            telemetry = open_telemetry(stack, Settings(), None, SystemClock())
            ports = object()
            return 0 if telemetry.instrument(ports) is ports else 1

    assert asyncio.run(main()) == 0
