"""Tests of the rate limit, the buffer and the drop counts of log lines."""

import errno
import json
import os

from nutmegdeal.log_writer import (
    BUFFER_BYTES_MAX,
    FAILED_WRITES,
    LINES_PER_EVENT_PER_S,
    LogRateLimiter,
    NonBlockingLogWriter,
)
from nutmegdeal.request_log import summarize_request_log


def read_lines(descriptor):
    return [json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()]


def make_pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    return reader, writer


def test_rate_limit_of_one_event_does_not_affect_others():
    now_s = [0.0]
    rate_limiter = LogRateLimiter(lambda: now_s[0])
    allowed = sum(rate_limiter.allows("flood", "info") for _ in range(1_000))
    assert allowed == LINES_PER_EVENT_PER_S
    assert rate_limiter.allows("rare", "info")
    assert rate_limiter.dropped_counts["flood"] == 1_000 - allowed
    now_s[0] = 1.0
    assert rate_limiter.allows("flood", "info")


def test_dropped_lines_are_counted_in_a_log_line():
    reader, writer = make_pipe()
    rate_limiter = LogRateLimiter(lambda: 0.0)
    log_writer = NonBlockingLogWriter(writer, rate_limiter)
    for _ in range(LINES_PER_EVENT_PER_S + 3):
        if rate_limiter.allows("flood", "info"):
            log_writer.msg('{"event": "flood"}')
    log_writer.flush()
    lines = read_lines(reader)
    assert len(lines) == LINES_PER_EVENT_PER_S + 1
    assert lines[-1] == {"event": "log_lines_left_out", "counts": {"flood": 3}}


def test_failed_writes_are_counted_in_a_log_line(monkeypatch):
    reader, writer = make_pipe()
    log_writer = NonBlockingLogWriter(writer, LogRateLimiter(lambda: 0.0))
    log_writer.msg('{"event": "x"}')
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", fail_to_write)
        log_writer.flush()
    log_writer.flush()
    counts = {FAILED_WRITES: 1}
    assert read_lines(reader) == [
        {"event": "x"},
        {"event": "log_lines_left_out", "counts": counts},
    ]


def fail_to_write(_descriptor, _data):
    raise OSError(errno.ENOSPC, "no space")


def test_stalled_reader_does_not_block_logging():
    reader, writer = make_pipe()
    log_writer = NonBlockingLogWriter(writer, LogRateLimiter(lambda: 0.0))
    line = json.dumps({"event": "x", "text": "y" * 1_000})
    for _ in range(3 * BUFFER_BYTES_MAX // len(line)):
        log_writer.msg(line)
        log_writer.flush()
    assert log_writer.rate_limiter.dropped_counts["buffer_full"] > 0
    seen = b""
    for _ in range(200):
        try:
            seen += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        log_writer.flush()
    lines = [json.loads(item) for item in seen.splitlines()]
    assert any(item["event"] == "log_lines_left_out" for item in lines)


def test_request_summary_reports_dropped_lines():
    reader, writer = make_pipe()
    log_writer = NonBlockingLogWriter(writer, LogRateLimiter(lambda: 0.0), "front-1")
    log_writer.rate_limiter.dropped_counts["request_ended"] = 4
    log_writer.flush()
    chosen = {
        "timestamp": "2026-12-04T10:00:01Z",
        "process": "front-1",
        "event": "backend_chosen",
        "request": "q-1",
    }
    texts = [json.dumps(chosen), os.read(reader, 1 << 20).decode()]
    assert any(
        "request_ended" in text for text in summarize_request_log("q-1", texts).unknown
    )


def test_drop_counts_are_kept_while_the_buffer_is_full():
    reader, writer = make_pipe()
    log_writer = NonBlockingLogWriter(writer, LogRateLimiter(lambda: 0.0))
    log_writer.rate_limiter.dropped_counts["request_ended"] = 4
    while log_writer.rate_limiter.dropped_counts["buffer_full"] < 2:
        is_nearly_full = log_writer.rate_limiter.dropped_counts["buffer_full"]
        log_writer.msg("x" * (1 if is_nearly_full else 1_000))
    log_writer.flush()
    seen = b""
    while b"request_ended" not in seen:
        seen += os.read(reader, 1 << 20)
        log_writer.flush()
    assert json.loads(seen.splitlines()[-1])["counts"]["request_ended"] == 4
