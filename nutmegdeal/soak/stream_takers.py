"""Callers of the soak test that break streams off and take them up elsewhere."""

import random
import time

import attrs
import gevent

from nutmegdeal.fakes.platform_backend import EVENT_COUNT
from nutmegdeal.fakes.platform_configuration import MODEL
from nutmegdeal.fakes.stream_caller import STATUS_REFUSED, StreamCaller
from nutmegdeal.soak.callers import (
    ADAPTER_COUNT,
    ANSWER_MARGIN_MS,
    MEAN_PAUSE_S,
    build_headers,
)
from nutmegdeal.soak.configurations import TIMEOUT_MS
from nutmegdeal.soak.tenants import STEADY_KEY, build_key_headers

# Share of the streams that are for the base model.
BASE_MODEL_SHARE = 0.5
# Share of the streams that are broken off a second time.
SECOND_BREAK_SHARE = 0.3
TRIES_MAX = 5


@attrs.define
class TakenStream:
    """A stream that its caller broke off and took up, or that did not begin.

    Parameters
    ----------
    caller : StreamCaller
    peer_counts : list of (int, int)
        For each try, the number of engines of the stream's version that serve, as the
        try began and as it ended; 0 for the first try.
    gateways : list of int
        Number of the gateway of each try.
    """

    caller: StreamCaller
    peer_counts: list = attrs.field(factory=list)
    gateways: list = attrs.field(factory=list)

    @property
    def has_begun(self):
        """Return whether the first try brought an event."""
        return bool(self.caller.tries[0].events)

    @property
    def taken_up(self):
        """Return the tries after the one that brought the first event."""
        begun_id = self.caller.begun_id
        ids = [item.request_id for item in self.caller.tries]
        return self.caller.tries[ids.index(begun_id) + 1 :] if begun_id else []

    @property
    def gone_on(self):
        """Return the tries that brought further events or the end of the stream."""
        return [
            item
            for item in self.taken_up
            if item.status_code == 200 and (item.events or item.is_ended)
        ]

    @property
    def refused(self):
        """Return the tries at which the stream was refused."""
        return [item for item in self.taken_up if item.status_code == STATUS_REFUSED]


class StreamTaker:
    """Begins one stream after another, breaks it off and takes it up elsewhere.

    Parameters
    ----------
    number : int
    site : SoakSite
    seed : int
    streams : list of TakenStream
    """

    def __init__(self, number, site, seed, streams):
        self._number = number
        self._site = site
        self._random = random.Random(f"{seed}-taker-{number}")
        self._streams = streams
        self._count = 0

    def run(self):
        """Begin and take up random streams until the greenlet is killed."""
        while True:
            self._count += 1
            self._streams.append(self._serve(f"t{self._number}-{self._count}"))
            gevent.sleep(MEAN_PAUSE_S * self._random.random() * 2)

    def _serve(self, request_id):
        model = MODEL
        if self._random.random() >= BASE_MODEL_SHARE:
            model = f"{MODEL}/a{self._random.randrange(ADAPTER_COUNT)}"
        prompt = f"{self._random.getrandbits(32):08x}:200".encode()
        caller = StreamCaller(
            request_id,
            lambda try_id: self._build_headers(try_id, model, prompt),
            TIMEOUT_MS + ANSWER_MARGIN_MS,
        )
        stream = TakenStream(caller)
        end_s = time.monotonic() + TIMEOUT_MS / 1000
        gateway = self._random.randrange(len(self._site.gateways))
        break_after = self._random.randrange(1, EVENT_COUNT)
        while time.monotonic() < end_s and len(caller.tries) < TRIES_MAX:
            self._call(stream, gateway, break_after)
            if caller.tries[-1].is_ended and caller.tries[-1].status_code == 200:
                break
            gateway = self._draw_other(gateway)
            is_broken_again = self._random.random() < SECOND_BREAK_SHARE
            break_after = 1 if is_broken_again else None
            pause = caller.tries[-1].headers.get(b"retry-after")
            gevent.sleep(float(pause or self._random.uniform(0.0, 0.2)))
        return stream

    def _build_headers(self, try_id, model, prompt):
        headers = build_headers(try_id, model, prompt)
        return headers + (build_key_headers(STEADY_KEY) if self._site.tenants else [])

    def _draw_other(self, gateway):
        others = [n for n in range(len(self._site.gateways)) if n != gateway]
        return self._random.choice(others)

    def _call(self, stream, gateway, break_after):
        before = self._count_peers(stream)
        stream.gateways.append(gateway)
        stream.caller.call(self._site.gateway_address(gateway), break_after)
        stream.peer_counts.append((before, self._count_peers(stream)))

    def _count_peers(self, stream):
        """Return the number of engines that serve at the version of a stream."""
        return sum(
            engine.software_version in stream.caller.versions
            and engine.state == "ready"
            for engine in self._site.engines
        )
