"""Measures what entry and agent add to a request, compared with the engine alone.

The same seeded load of streamed completions is sent directly to the stand-in model
engine and then through an entry. Both must be running, as separate processes on
loopback.
"""

import json
import pathlib
import random
import time

import attrs
import gevent
import gevent.pool
import urllib3

from nutmegdeal.bench.quantiles import percentile

IDLE_CONNECTIONS_MAX = 512
ANSWER_TIMEOUT_S = 60
READ_BYTES = 65_536
MS_PER_S = 1_000.0
CLOCK_TICKS_PER_S = 100
PERCENTILES = (50, 95, 99)
DONE_EVENT = b"data: [DONE]"
STATUS_OK = 200


@attrs.frozen
class Load:
    """Load of streamed completions.

    Parameters
    ----------
    rate_per_s : float
        Mean rate of the Poisson arrivals.
    request_count : int
    token_count : int
        Number of tokens of each answer.
    prompt_bytes : int
    models : tuple of str
        Values of ``model``, used in rotation.
    seed : int
    """

    rate_per_s: float
    request_count: int
    token_count: int
    prompt_bytes: int
    models: tuple[str, ...]
    seed: int


@attrs.frozen
class Exchange:
    """Timing and size of the answer to one request.

    Parameters
    ----------
    first_byte_ms : float
    gaps_ms : tuple of float
        Times between successive pieces of the answer.
    answer_bytes : int
    is_whole : bool
        True if the answer was successful and complete.
    """

    first_byte_ms: float
    gaps_ms: tuple[float, ...]
    answer_bytes: int
    is_whole: bool


@attrs.frozen
class Spread:
    """Percentiles of times in ms."""

    p50_ms: float
    p95_ms: float
    p99_ms: float


@attrs.frozen
class PathFigures:
    """Results of one load on one path.

    Parameters
    ----------
    way : str
        Where the load was sent: ``engine`` or ``entry``.
    load : Load
    whole_count : int
        Requests with a complete and successful answer.
    elapsed_s : float
    first_byte, gap : Spread
        Time to the first byte, and between successive pieces.
    piece_count : float
        Mean number of pieces per answer.
    answer_kb : float
        Mean answer size.
    entry_cpu_ms, agent_cpu_ms : float
        CPU time per request.
    entry_rss_mb, agent_rss_mb : float
        Resident set size after the load.
    """

    way: str
    load: Load
    whole_count: int
    elapsed_s: float
    first_byte: Spread
    gap: Spread
    piece_count: float
    answer_kb: float
    entry_cpu_ms: float
    agent_cpu_ms: float
    entry_rss_mb: float
    agent_rss_mb: float


def summarize_times(values):
    """Return the Spread of a sequence of times in ms."""
    return Spread(*(round(percentile(values, each), 2) for each in PERCENTILES))


def read_cpu_ms(pid):
    """Return the CPU time of a process in ms."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks * MS_PER_S / CLOCK_TICKS_PER_S


def read_rss_mb(pid):
    """Return the resident set size of a process in MB, 0.0 if it has none."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class CompletionClient:
    """Sends completion requests and measures their answers.

    Parameters
    ----------
    url : str
        Base URL of an entry or of an engine.
    load : Load
    """

    def __init__(self, url, load):
        self._url = f"{url}/v1/completions"
        self._load = load
        self._pool = urllib3.PoolManager(maxsize=IDLE_CONNECTIONS_MAX)

    def exchange(self, number):
        """Send request `number` and return its Exchange."""
        load = self._load
        body = {
            "model": load.models[number % len(load.models)],
            "prompt": f"{number:08}" + "x" * max(0, load.prompt_bytes - 8),
            "max_tokens": load.token_count,
            "stream": True,
        }
        started_s = time.perf_counter()
        response = self._pool.request(
            "POST",
            self._url,
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            preload_content=False,
            retries=False,
            timeout=ANSWER_TIMEOUT_S,
        )
        return self._read_answer(response, started_s)

    def _read_answer(self, response, started_s):
        arrivals_s, pieces = [], []
        while piece := response.read1(READ_BYTES):
            arrivals_s.append(time.perf_counter())
            pieces.append(piece)
        response.release_conn()
        answer = b"".join(pieces)
        if not arrivals_s:
            return Exchange(0.0, (), 0, is_whole=False)
        gaps_ms = tuple(
            (later - earlier) * MS_PER_S
            for earlier, later in zip(arrivals_s, arrivals_s[1:], strict=False)
        )
        is_whole = response.status == STATUS_OK and DONE_EVENT in answer
        first_byte_ms = (arrivals_s[0] - started_s) * MS_PER_S
        return Exchange(first_byte_ms, gaps_ms, len(answer), is_whole)


def send_load(url, load):
    """Send a load with Poisson arrivals; return the Exchanges (list)."""
    random_source = random.Random(load.seed)
    client = CompletionClient(url, load)
    greenlets = []
    next_s = time.perf_counter()
    for number in range(load.request_count):
        next_s += random_source.expovariate(load.rate_per_s)
        gevent.sleep(max(0.0, next_s - time.perf_counter()))
        greenlets.append(gevent.spawn(client.exchange, number))
    gevent.joinall(greenlets)
    return [greenlet.get() for greenlet in greenlets]


def measure(way, url, load, entry_pid, agent_pid):
    """Send a load and return its PathFigures.

    `way` is the name of the path in the result, `url` where the load is sent.
    """
    entry_before_ms, agent_before_ms = read_cpu_ms(entry_pid), read_cpu_ms(agent_pid)
    started_s = time.perf_counter()
    exchanges = send_load(url, load)
    elapsed_s = time.perf_counter() - started_s
    entry_ms = read_cpu_ms(entry_pid) - entry_before_ms
    agent_ms = read_cpu_ms(agent_pid) - agent_before_ms
    count = load.request_count
    gaps_ms = [gap_ms for exchange in exchanges for gap_ms in exchange.gaps_ms]
    pieces = sum(len(exchange.gaps_ms) + 1 for exchange in exchanges)
    answer_bytes = sum(exchange.answer_bytes for exchange in exchanges)
    return PathFigures(
        way=way,
        load=load,
        whole_count=sum(exchange.is_whole for exchange in exchanges),
        elapsed_s=round(elapsed_s, 2),
        first_byte=summarize_times([exchange.first_byte_ms for exchange in exchanges]),
        gap=summarize_times(gaps_ms),
        piece_count=round(pieces / count, 1),
        answer_kb=round(answer_bytes / count / 1024, 2),
        entry_cpu_ms=round(entry_ms / count, 3),
        agent_cpu_ms=round(agent_ms / count, 3),
        entry_rss_mb=round(read_rss_mb(entry_pid), 1),
        agent_rss_mb=round(read_rss_mb(agent_pid), 1),
    )


def measure_paths(engine_url, entry_url, entry_pid, agent_pid, load):
    """Return the PathFigures of both paths, directly to the engine first."""
    return (
        measure("engine", engine_url, load, entry_pid, agent_pid),
        measure("entry", entry_url, load, entry_pid, agent_pid),
    )
