"""Callers of the soak test, which reuse connections until these are closed."""

import random
import time

import attrs
import gevent
import gevent.socket

from nutmegdeal.fakes.platform_configuration import MODEL
from nutmegdeal.http_connections import (
    BrokenAnswerError,
    ClientConnection,
    find_header,
)
from nutmegdeal.soak.configurations import TIMEOUT_MS
from nutmegdeal.soak.site import HOST
from nutmegdeal.soak.tenants import LIMITED_KEY, STEADY_KEY, build_key_headers

ANSWER_BYTES_MAX = 1_048_576
MEAN_PAUSE_S = 0.03
ADAPTER_COUNT = 8
ADAPTERS = tuple(f"a{number}" for number in range(ADAPTER_COUNT))
# A request must have its final answer at most this long after its route's timeout_ms.
ANSWER_MARGIN_MS = 1_500.0
REQUEST_KINDS = ("chat", "quote", "book", "look")
# With tenants there is also a kind that needs no key.
TENANT_REQUEST_KINDS = (*REQUEST_KINDS, "open")
# How often a caller that waits for a surge looks for it.
SURGE_POLL_S = 0.1
# First part of all prompts, and number of the second parts that sound ones share.
FIRST_PART = "5c1e07a2"
SHARED_PART_COUNT = 4
# Prompt of a request that comes again and again.
SAME_PROMPT = b"5c1e07a2:300,00000000:200,0000000a:200"
# Share of the requests of a kind that crash servers while there is such a request.
CRASHING_REQUEST_SHARE = 0.1
# Share of the requests whose prompts have the crashing part while there is one.
CRASHING_SHARE = 0.25


@attrs.frozen
class CallRecord:
    """One request as observed by its caller.

    Parameters
    ----------
    request_id, kind : str
    gateway : int
        Number of the gateway that the request was sent to.
    started_s, ended_s : float
        On the monotonic clock.
    status_code : int
        0 if no response head was received.
    body : bytes or None
        None if the answer was cut off or missing, or if it was a 429 or 503 without
        the required header Retry-After.
    was_sent : bool
        False if no connection to the gateway could be opened.
    key : str
        API key, "" for none.
    sent_s : float
        Just before the request was sent, on the monotonic clock.
    adapter : str
        Adapter that the request named.
    """

    request_id: str
    kind: str
    gateway: int
    started_s: float
    ended_s: float
    status_code: int
    body: bytes | None
    was_sent: bool
    key: str = ""
    sent_s: float = 0.0
    adapter: str = ""


def build_headers(request_id, model, prompt):
    """Return the headers of a request.

    Parameters
    ----------
    request_id, model : str
    prompt : bytes
        Parts of the prompt.
    """
    return [
        (b"host", HOST.encode()),
        (b"x-request-id", request_id.encode()),
        (b"x-model", model.encode()),
        (b"x-token-usage", b"700,50"),
        (b"x-prompt-prefix", prompt),
        (b"x-deadline-ms", b"%d" % TIMEOUT_MS),
    ]


class Caller:
    """Sends one request after another to random gateways.

    Parameters
    ----------
    number : int
    site : SoakSite
    seed : int
    records : list of CallRecord
    adapters : sequence of str
    """

    def __init__(self, number, site, seed, records, adapters=ADAPTERS):
        self._number = number
        self._site = site
        self._random = random.Random(f"{seed}-{number}")
        self._records = records
        self._adapters = adapters
        self._adapter = ""
        self._connection = None
        self._gateway = 0
        self._count = 0
        self._sent_s = 0.0

    def run(self):
        """Send random requests until the greenlet is killed."""
        tenants = self._site.tenants
        kinds = REQUEST_KINDS if tenants is None else TENANT_REQUEST_KINDS
        while True:
            kind = self._random.choice(kinds)
            paths = [
                path
                for path in self._site.crashing_paths
                if path.startswith(f"/{kind}/")
            ]
            is_crashing = paths and self._random.random() < CRASHING_REQUEST_SHARE
            key = tenants.draw_key(self._random) if tenants else STEADY_KEY
            self.call(kind, paths[0] if is_crashing else None, key)
            self._pause()

    def run_surges(self):
        """Send requests of the limited tenant while it sends many times its usual."""
        while True:
            if not self._site.tenants.is_surging:
                gevent.sleep(SURGE_POLL_S)
                continue
            self.call(self._random.choice(("book", "look")), key=LIMITED_KEY)
            self._pause()

    def run_streams(self):
        """Send requests for streams until the greenlet is killed."""
        while True:
            self.call(self._random.choice(("chat", "quote")))
            self._pause()

    def _pause(self):
        gevent.sleep(MEAN_PAUSE_S * self._random.random() * 2)

    def call(self, kind, path=None, key=STEADY_KEY):
        """Send a request, record its result and return the CallRecord.

        The key (str, "" for none) is sent only where the site has tenants.
        """
        self._count += 1
        key = key if self._site.tenants else ""
        request_id = f"c{self._number}-{self._count}"
        started_s = time.monotonic()
        status_code, body, was_sent = self._exchange(kind, path, request_id, key)
        record = CallRecord(
            request_id,
            kind,
            self._gateway,
            started_s,
            time.monotonic(),
            status_code,
            body,
            was_sent,
            key,
            self._sent_s,
            self._adapter,
        )
        self._records.append(record)
        return record

    def discard_last_record(self):
        """Remove the last record."""
        self._records.pop()

    def _exchange(self, kind, path, request_id, key):
        self._adapter = ""
        try:
            connection = self._connect()
        except OSError:
            return 0, None, False
        deadline_ms = time.monotonic() * 1000 + TIMEOUT_MS + ANSWER_MARGIN_MS
        is_crashing = path in self._site.crashing_paths
        number = 0 if is_crashing else self._random.randrange(len(self._adapters))
        self._adapter = self._adapters[number]
        prompt = SAME_PROMPT if is_crashing else self._draw_prompt()
        headers = build_headers(request_id, f"{MODEL}/{self._adapter}", prompt)
        if self._site.tenants:
            headers += build_key_headers(key)
        status_code = 0
        self._sent_s = time.monotonic()
        try:
            target = (path or f"/{kind}/x").encode()
            connection.send(b"POST", target, headers)
            head = connection.read_head(deadline_ms)
            status_code = head.status_code
            body = connection.read_body(deadline_ms, ANSWER_BYTES_MAX)
        except (OSError, BrokenAnswerError):
            self._close_connection()
            return status_code, None, True
        if not connection.finish(head, 0.0):
            self._close_connection()
        needs_retry_after = status_code in (429, 503)
        if needs_retry_after and find_header(head.headers, b"retry-after") is None:
            return status_code, None, True
        return status_code, body, True

    def _draw_prompt(self):
        """Return the parts of a prompt (bytes); the last one is the request's own."""
        second_part = f"{self._random.randrange(SHARED_PART_COUNT):08x}"
        if self._site.crashing_part and self._random.random() < CRASHING_SHARE:
            second_part = self._site.crashing_part
        last_part = f"{self._random.getrandbits(32):08x}"
        return f"{FIRST_PART}:300,{second_part}:200,{last_part}:200".encode()

    def _connect(self):
        if self._connection is not None and self._connection.is_clean():
            return self._connection
        self._close_connection()
        self._gateway = self._random.randrange(len(self._site.gateways))
        self._connection = ClientConnection(self._site.gateway_address(self._gateway))
        return self._connection

    def _close_connection(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None
