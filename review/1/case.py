"""Replicas that are full for moments, and a few of whose answers come twice, late.

Exits with 1 if a booking ran twice, or was refused although it ran; 0 if not; 2 if the
case could not run.
"""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins"))

from configuration import build_configuration, build_route, build_service  # noqa: E402
from http11 import encode_request, read_message  # noqa: E402
from installation import run_main  # noqa: E402
from plain_server import PlainServer  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The largest dose of `garble` with `extra late` in the site file. It comes several
# times.
DUPLICATE_SHARE = 0.03
FAULT_S = 5.0
PAUSE_S = 1.0
FAULT_COUNT = 10
QUIET_S = 2.0
REQUESTS_PER_S = 230.0
SLOTS = 6
QUEUE = 2
# As on the sheet of the grown installation.
WORK_S = 0.0225
PROMISES = (408, 421, 429, 503)


async def call(site, gateway, number, record, answers):
    """Send one booking on a new connection, and record its answer."""
    request_id = f"b{number:06d}"
    record.write(f"consumer sends {request_id}")
    headers = [
        ("Host", "x.example"),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", "1500"),
    ]
    status = 0
    try:
        reader, writer = await asyncio.open_connection(*gateway.front)
        writer.write(encode_request("POST", "/book/1", headers, b"crusher"))
        message = await asyncio.wait_for(read_message(reader), 3.0)
        status = message.status if message is not None else 0
        writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    record.write(f"consumer gets {request_id} {status or 'no answer'}")
    answers[request_id] = status


async def play(site, record):
    """Play the case; return whether the rules held."""
    await site.start_store()
    site.store.put(
        "op",
        "config",
        build_configuration(
            1,
            [build_route("book", "/book/", "unsafe", "hire-core")],
            [build_service("hire-core")],
        ),
    )
    server = PlainServer(site, "i-1", "hire-core", record, SLOTS, QUEUE, WORK_S)
    await server.start(site.ip(100))
    gateway = site.make_gateway(1, [7380, 7395])
    gateway.start()
    await site.wait_ready(gateway)
    answers, tasks = {}, []
    begun = time.monotonic()
    number = 0
    while True:
        passed_s = time.monotonic() - begun - QUIET_S
        episode, episode_s = divmod(passed_s, FAULT_S + PAUSE_S)
        if episode >= FAULT_COUNT:
            break
        is_faulty = TROUBLE and episode >= 0 and episode_s < FAULT_S
        server.duplicate_share = DUPLICATE_SHARE if is_faulty else 0.0
        number += 1
        tasks.append(asyncio.create_task(call(site, gateway, number, record, answers)))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    counts = collections.Counter(server.runs)
    twice = sorted(item for item, count in counts.items() if count > 1)
    refused = sorted(item for item in counts if answers.get(item) in PROMISES)
    statuses = {}
    for status in answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    summary = (
        f"{len(answers)} bookings, answers {statuses}; answers sent twice by "
        f"the replica: {server.duplicate_count}; TWICE: {twice}; REFUSED: {refused}"
    )
    record.write(summary)
    print(summary)
    return not twice and not refused


if __name__ == "__main__":
    sys.exit(run_main(play, HERE))
