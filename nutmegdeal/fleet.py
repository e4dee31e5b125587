"""State of the whole system for an operator: generation, hosts, leases, processes."""

import json

import attrs
import urllib3
from urllib3.exceptions import HTTPError

from nutmegdeal.configuration_head import read_configuration_head
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.leases import LeaseRow
from nutmegdeal.row_encoding import decode_record
from nutmegdeal.services.hosts import Host
from nutmegdeal.whole_responses import ResponseLimits, WholeResponsePools

LEASE_PREFIX = "lease/"
ROWS_PER_PAGE = 1_000
# Most bytes of the state of one process.
STATUS_BYTES_MAX = 16_777_216


@attrs.frozen
class LeaseState:
    """One lease with the name of its row."""

    name: str
    lease: LeaseRow


@attrs.frozen
class ProcessState:
    """State that one process reports.

    Parameters
    ----------
    url : str
    status : dict
        The content of its ``/status``; empty if it could not be read.
    failure : Failure or None
    """

    url: str
    status: dict
    failure: Failure | None = None


@attrs.frozen
class FleetState:
    """State of the system, with a Failure in place of each part that was not read.

    Parameters
    ----------
    generation : int or Failure
        Generation of the head row, 0 before the first acceptance.
    hosts : tuple of Host, or Failure
    leases : tuple of LeaseState, or Failure
    processes : tuple of ProcessState
    """

    generation: int | Failure
    hosts: tuple[Host, ...] | Failure
    leases: tuple[LeaseState, ...] | Failure
    processes: tuple[ProcessState, ...]

    @property
    def failures(self):
        """All Failures to read a part of the state."""
        parts = (self.generation, self.hosts, self.leases)
        found = [part for part in parts if isinstance(part, Failure)]
        return (
            *found,
            *(process.failure for process in self.processes if process.failure),
        )


class FleetReader:
    """Reads the state of the system.

    Parameters
    ----------
    table : TableService
    hosts : HostList
    within_ms : int
        Timeout of the request to one process.
    """

    def __init__(self, table, hosts, within_ms):
        self._table = table
        self._hosts = hosts
        self._timeout = urllib3.Timeout(total=within_ms / 1000)
        limits = ResponseLimits(STATUS_BYTES_MAX)
        self._pool = WholeResponsePools(limits, retries=False)

    def read(self, process_urls):
        """Return the FleetState; the processes are those at the given base URLs."""
        return FleetState(
            self._read_generation(),
            self._hosts.read(),
            self._read_leases(),
            tuple(map(self._read_process, process_urls)),
        )

    def _read_generation(self):
        stored = read_configuration_head(self._table)
        if isinstance(stored, Failure):
            return stored
        return stored.head.generation if stored else 0

    def _read_leases(self):
        leases, after = [], ""
        while True:
            rows = self._table.scan(LEASE_PREFIX, after, ROWS_PER_PAGE)
            if isinstance(rows, Failure):
                return rows
            for row in rows:
                try:
                    lease = decode_record(row.value, LeaseRow)
                except ValueError as error:
                    text = str(error)
                    return Failure(Reason.STORE_CONFLICT, Step.LEASE, row.key, text)
                leases.append(LeaseState(row.key.removeprefix(LEASE_PREFIX), lease))
            if len(rows) < ROWS_PER_PAGE:
                return tuple(leases)
            after = rows[-1].key

    def _read_process(self, url):
        try:
            answer = self._pool.request(
                "GET", url.rstrip("/") + "/status", timeout=self._timeout
            )
            return ProcessState(url, json.loads(answer.data))
        except (HTTPError, ValueError) as error:
            failure = Failure(Reason.CONNECTION_LOST, Step.REPORT, url, str(error))
            return ProcessState(url, {}, failure)


def describe(state):
    """Return a FleetState as lines of text (tuple of str)."""
    lines = [f"Generation in force: {_format_value(state.generation)}"]
    lines += _describe_list("Hosts", state.hosts, _describe_host)
    lines += _describe_list("Leases", state.leases, _describe_lease)
    lines += _describe_list("Processes", state.processes, _describe_process)
    return tuple(lines)


def _format_value(value):
    return f"not known: {value}" if isinstance(value, Failure) else str(value)


def _describe_list(title, items, describe_item):
    if isinstance(items, Failure):
        return [f"{title}: {_format_value(items)}"]
    lines = [f"{title}: {len(items)}"]
    for item in items:
        lines += [f"  {line}" for line in describe_item(item)]
    return lines


def _describe_host(host):
    address = f"{host.agent_host}:{host.agent_port}"
    yield f"{host.host_id}  {host.service}  {host.zone}  {address}  {host.state.value}"


def _describe_lease(state):
    lease = state.lease
    holder = f"held by {lease.holder}" if lease.holder else "free"
    deadline = f"until {lease.deadline_unix_ms} (Unix ms)" if lease.holder else ""
    yield f"{state.name}  {holder}  fence {lease.fence}  {deadline}".rstrip()


def _describe_process(process):
    if process.failure is not None:
        yield f"{process.url}  {_format_value(process.failure)}"
        return
    status = process.status
    name = status.get("process") or status.get("agent_id") or "?"
    yield f"{name}  {process.url}  generation {status.get('generation', '?')}"
    for key, value in status.items():
        if key not in ("process", "agent_id", "generation", "links"):
            yield f"  {key}: {json.dumps(value)}"
    for link in status.get("links", ()):
        resident = ", ".join(link.get("resident", ())) or "none"
        yield (
            f"  agent {link['host_id']} ({link['service']}): "
            f"in flight {link['in_flight_count']}; last report: generation "
            f"{link['generation']}, queued {link['queued_count']}, "
            f"running {link['running_count']}, "
            f"leaving {link['leaving']}, resident: {resident}"
        )
