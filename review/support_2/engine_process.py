"""A model replica as a process of its own, so that it can be stopped and continued.

Usage: engine_process.py IP ID SERVICE MODEL PLACES ADAPTER...

It prints its port, then one JSON line for each run that begins, with the time on the
monotonic clock. It does not look whether the connection of a request has closed before
it has made the first token ("Most replicas drop a request when its connection closes").
"""

import asyncio
import json
import sys
import time

import deployment as d

FIRST_TOKEN_S = 0.04


class PrintedRecord:
    """Prints the runs that begin."""

    def now_s(self):
        """Return the time on the monotonic clock."""
        return time.monotonic()

    def add(self, text):
        """Print an event."""
        print(json.dumps([time.monotonic(), text]), flush=True)


class Machine:
    """What an Engine needs of a deployment."""

    record = PrintedRecord()


class LateEngine(d.Engine):
    """An engine whose first token takes a while."""

    async def _run(self, request, writer):
        await asyncio.sleep(FIRST_TOKEN_S)
        await super()._run(request, writer)


async def main(ip, id_, service, model, places, *adapters):
    """Serve until the process is killed."""
    engine = LateEngine(Machine(), ip, id_, service, model, int(places))
    engine.adapters = dict.fromkeys(adapters, 1)
    await engine.start()
    print(json.dumps([engine.port, engine.born]), flush=True)
    await asyncio.Event().wait()


asyncio.run(main(*sys.argv[1:]))
