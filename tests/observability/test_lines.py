from __future__ import annotations

import json
import logging
import os

from aspenbridge.observability import LineHandler, metrics_text
from aspenbridge.observability._lines import BURST_LINES, DECISION


def make_record(event="request", level=logging.INFO, **inputs):
    record = logging.LogRecord("x", level, "f", 1, event, (), None)
    setattr(record, DECISION, inputs)
    return record


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            data += os.read(descriptor, 65536)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


def test_line_holds_the_event_and_the_inputs_of_the_decision():
    reading, writing = os.pipe()
    LineHandler(writing).emit(make_record(request="r1", found_online=7))
    (line,) = read_lines(reading)
    assert line["event"] == "request"
    assert (line["request"], line["found_online"]) == ("r1", 7)
    assert line["level"] == "info"


def test_line_holds_bytes_that_are_no_text():
    """Guards against a 500 for a caller whose header has odd bytes."""
    reading, writing = os.pipe()
    LineHandler(writing).emit(make_record(request="r\udcff"))
    (line,) = read_lines(reading)
    assert line["request"] == "r\udcff"


def test_lines_over_the_rate_are_counted_and_warnings_are_not_dropped():
    reading, writing = os.pipe()
    handler = LineHandler(writing, lambda: 0.0)
    for number in range(BURST_LINES + 50):
        handler.emit(make_record(number=number))
    handler.emit(make_record("store is unreachable", logging.WARNING))
    lines = read_lines(reading)
    assert len(lines) == BURST_LINES + 1
    assert lines[-1]["event"] == "store is unreachable"
    assert lines[-1]["lines_dropped"] == 50


def test_full_pipe_does_not_block_and_lines_stay_complete():
    reading, writing = os.pipe()
    handler = LineHandler(writing)
    for _ in range(300):
        handler.emit(make_record(filler="x" * 900))
    assert handler.dropped > 0
    read_lines(reading)
    handler.emit(make_record("after", logging.WARNING))
    lines = read_lines(reading)
    assert lines[-1]["event"] == "after"
    assert lines[-1]["lines_dropped"] > 0


def test_metrics_are_served_as_text():
    text = metrics_text().decode()
    assert "# TYPE first_event_seconds histogram" in text
    assert "# TYPE log_lines_dropped_total counter" in text
