"""Measure the cost per event of recording, encoding and storing events."""

import json
import random
import sys
import time

from nutmegdeal import accounts, identifiers
from nutmegdeal.accounts import Event, Outcome, SegmentRecorder
from nutmegdeal.clock import SystemClock
from nutmegdeal.errors import Step
from nutmegdeal.fakes.memory import MemoryObjects
from nutmegdeal.settings import AccountSettings

REQUEST_COUNT = 20_000
REQUEST_EVERY_MS = 8
AGENT_COUNT = 10_000
ADAPTER_COUNT = 37_000
STEPS = (
    (Step.RECEIVE, Outcome.RECEIVED),
    (Step.RESOLVE, Outcome.RESOLVED),
    (Step.ADMIT, Outcome.ADMITTED),
    (Step.SUBMIT, Outcome.SENT),
    (Step.ANSWER, "completed"),
)


def build_event(number, target, step, outcome, now_unix_ms):
    """Return an event of about the size of those that an entry records."""
    agent, adapter = target
    return Event(
        request_id=f"0123456789ab-{number:x}",
        at_unix_ms=now_unix_ms,
        process="entry-7.dk-west-1",
        incarnation="0123456789ab",
        step=step,
        outcome=str(outcome),
        attempt_id=f"0123456789ab-{number:x}.1",
        peer=f"assist-llm-{agent}",
        adapter=f"quote-{adapter:05}",
        version="2",
        generation=12_345,
        detail="service assist-llm",
        peer_incarnation=identifiers.body_digest(str(agent).encode())[:12],
    )


def main():
    """Print one JSON line with CPU microseconds and bytes per event."""
    objects, clock = MemoryObjects(), SystemClock()
    settings = AccountSettings(buffer_events_max=10**7)
    recorder = SegmentRecorder(objects, "entry-7", "0123456789ab", clock, settings)
    event_count = REQUEST_COUNT * len(STEPS)
    random_source = random.Random(1)
    targets = [
        (random_source.randrange(AGENT_COUNT), random_source.randrange(ADAPTER_COUNT))
        for _ in range(REQUEST_COUNT)
    ]
    started_s = time.process_time()
    for number, target in enumerate(targets):
        at_unix_ms = clock.unix_ms() + number * REQUEST_EVERY_MS
        for step, outcome in STEPS:
            recorder.record(build_event(number, target, step, outcome, at_unix_ms))
    recorded_s = time.process_time()
    failure = recorder.flush()
    flushed_s = time.process_time()
    if failure is not None:
        sys.exit(str(failure))
    prefix = accounts.account_prefix("0123456789ab")
    bodies = [objects.get(name) for name in objects.list_names(prefix)]
    figures = {
        "events": event_count,
        "record_us_per_event": round((recorded_s - started_s) / event_count * 1e6, 2),
        "flush_us_per_event": round((flushed_s - recorded_s) / event_count * 1e6, 2),
        "bytes_per_event": round(sum(map(len, bodies)) / event_count, 1),
        "segments": len(bodies),
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
