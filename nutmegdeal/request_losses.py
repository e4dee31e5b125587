"""Counts the requests that were not served in time, from log lines of gateways."""

import collections
import enum

import attrs

# How many seconds, and how many details, `describe` lists: those with most losses.
TOP_COUNT = 5
# Used as the route of requests that were refused on arrival.
ON_ARRIVAL = "refused on arrival"


class Cause(enum.Enum):
    """Why a request was not served in time; the values are printed."""

    REFUSED = "refused"
    IN_DOUBT = "answer lost"
    BROKEN_OFF = "broken off"
    SERVER_FAILED = "server's own failure"
    TIMED_OUT = "deadline passed"
    CALLER_LEFT = "caller left"
    MEMORY = "memory short"
    CRASHED = "the gateway's own error"
    FAILING_SERVER = "late: sent to a failing server first"
    ADAPTER = "late: waited for the adapter"
    PACING = "late: waited for its turn"
    ENGINE = "late: at the server"
    EVENT_GAP = "late: pause between events"


_CAUSE_OF_END = {
    "not_run": Cause.REFUSED,
    "in_doubt": Cause.IN_DOUBT,
    "cut": Cause.BROKEN_OFF,
    "failed": Cause.SERVER_FAILED,
    "timed_out": Cause.TIMED_OUT,
    "caller_left": Cause.CALLER_LEFT,
    "shed": Cause.MEMORY,
    "crashed": Cause.CRASHED,
}


@attrs.frozen
class Loss:
    """A request that was not served in time.

    Parameters
    ----------
    second : str
        Start of the second in which the request ended, ISO 8601.
    route : str
    cause : Cause
    detail : str
        Reason of the refusal, or the backend servers that were tried.
    """

    second: str
    route: str
    cause: Cause
    detail: str


@attrs.frozen
class LossTable:
    """The requests that were not served in time, and the number of all requests.

    Parameters
    ----------
    request_counts : dict of str to int
        All requests that ended, by route.
    losses : tuple of Loss
    """

    request_counts: dict
    losses: tuple[Loss, ...]

    def count(self, *names):
        """Return a Counter of the losses by the named attributes of Loss."""
        return collections.Counter(
            tuple(getattr(loss, name) for name in names) for loss in self.losses
        )


def find_cause(fields):
    """Return the Cause for the fields of a ``request_ended`` line, None if in time."""
    if fields["end"] != "completed":
        return _CAUSE_OF_END[fields["end"]]
    first_ms = fields["first_ms"]
    if first_ms is None:
        first_ms = fields["whole_ms"]
    if first_ms > fields["target_ms"]:
        return _find_cause_of_delay(fields, first_ms)
    if fields["gap_target_ms"] and fields["gap_ms"] > fields["gap_target_ms"]:
        return Cause.EVENT_GAP
    return None


def _find_cause_of_delay(fields, first_ms):
    if fields["sent"] > 1:
        return Cause.FAILING_SERVER
    durations_ms = {
        Cause.ADAPTER: fields["waited_ms"],
        Cause.PACING: fields["paced_ms"],
        Cause.ENGINE: first_ms - fields["waited_ms"] - fields["paced_ms"],
    }
    return max(durations_ms, key=durations_ms.get)


def read_losses(lines):
    """Return the LossTable of an iterable of LogLine."""
    counts = collections.Counter()
    losses = []
    for line in lines:
        loss = None
        if line.event == "request_refused":
            route, reason = ON_ARRIVAL, str(line.fields["reason"])
            loss = Loss(_start_of_second(line), route, Cause.REFUSED, reason)
        elif line.event == "request_ended":
            route = line.fields["route"]
            loss = _read_loss(line)
        else:
            continue
        counts[route] += 1
        if loss is not None:
            losses.append(loss)
    return LossTable(dict(counts), tuple(losses))


def _read_loss(line):
    cause = find_cause(line.fields)
    if cause is None:
        return None
    detail = line.fields["reason"] or " ".join(line.fields["backends"])
    return Loss(_start_of_second(line), line.fields["route"], cause, detail)


def _start_of_second(line):
    return line.timestamp.partition(".")[0]


def describe(table):
    """Return a LossTable as lines of text, a tuple of str."""
    return (
        *_describe_routes(table),
        *_describe_top(table, "second"),
        *_describe_top(table, "detail"),
    )


def _describe_routes(table):
    by_route = table.count("route", "cause")
    for route, count in sorted(table.request_counts.items()):
        yield f"{route}: {count} requests"
        causes = [
            (lost_count, cause)
            for (name, cause), lost_count in by_route.items()
            if name == route
        ]
        for lost_count, cause in sorted(causes, key=lambda item: -item[0]):
            yield f"  {lost_count} ({lost_count / count:.1%}) {cause.value}"


def _describe_top(table, name):
    yield f"most by {name}:"
    for (key, cause), count in table.count(name, "cause").most_common(TOP_COUNT):
        yield f"  {key or '-'}: {count} {cause.value}"
