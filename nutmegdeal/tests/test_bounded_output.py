"""Tests of the logs' bounds."""

import json
import os

from nutmegdeal.bounded_output import (
    BUFFER_BYTES_MAX,
    LINES_PER_EVENT_PER_S,
    BoundedOutput,
    LineBudget,
)
from nutmegdeal.log_story import read_story


def read_lines(descriptor):
    return [json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()]


def make_pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    return reader, writer


def test_a_flood_of_one_event_leaves_room_for_others():
    now_s = [0.0]
    budget = LineBudget(lambda: now_s[0])
    allowed = sum(budget.allows("flood", "info") for _ in range(1_000))
    assert allowed == LINES_PER_EVENT_PER_S
    assert budget.allows("rare", "info")
    assert budget.left_out["flood"] == 1_000 - allowed
    now_s[0] = 1.0
    assert budget.allows("flood", "info")


def test_what_was_left_out_is_counted_in_a_line():
    reader, writer = make_pipe()
    budget = LineBudget(lambda: 0.0)
    output = BoundedOutput(writer, budget)
    for _ in range(LINES_PER_EVENT_PER_S + 3):
        if budget.allows("flood", "info"):
            output.msg('{"event": "flood"}')
    output.flush()
    lines = read_lines(reader)
    assert len(lines) == LINES_PER_EVENT_PER_S + 1
    assert lines[-1] == {"event": "log_lines_left_out", "counts": {"flood": 3}}


def test_a_reader_that_does_not_read_stops_nothing():
    reader, writer = make_pipe()
    output = BoundedOutput(writer, LineBudget(lambda: 0.0))
    line = json.dumps({"event": "x", "text": "y" * 1_000})
    for _ in range(3 * BUFFER_BYTES_MAX // len(line)):
        output.msg(line)
        output.flush()
    assert output.budget.left_out["buffer_full"] > 0
    seen = b""
    for _ in range(200):
        try:
            seen += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        output.flush()
    lines = [json.loads(item) for item in seen.splitlines()]
    assert any(item["event"] == "log_lines_left_out" for item in lines)


def test_lines_left_out_are_told_in_a_requests_story():
    reader, writer = make_pipe()
    output = BoundedOutput(writer, LineBudget(lambda: 0.0), "front-1")
    output.budget.left_out["request_ended"] = 4
    output.flush()
    chosen = {
        "timestamp": "2026-12-04T10:00:01Z",
        "process": "front-1",
        "event": "backend_chosen",
        "request": "q-1",
    }
    texts = [json.dumps(chosen), os.read(reader, 1 << 20).decode()]
    assert any("request_ended" in text for text in read_story("q-1", texts).unknown)


def test_counts_of_lines_left_out_outlive_a_full_buffer():
    reader, writer = make_pipe()
    output = BoundedOutput(writer, LineBudget(lambda: 0.0))
    output.budget.left_out["request_ended"] = 4
    while output.budget.left_out["buffer_full"] < 2:
        is_nearly_full = output.budget.left_out["buffer_full"]
        output.msg("x" * (1 if is_nearly_full else 1_000))
    output.flush()
    seen = b""
    while b"request_ended" not in seen:
        seen += os.read(reader, 1 << 20)
        output.flush()
    assert json.loads(seen.splitlines()[-1])["counts"]["request_ended"] == 4
