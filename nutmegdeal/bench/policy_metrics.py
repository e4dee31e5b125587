"""Metrics of a simulated run, computed from its request records."""

import collections
import math

import attrs

from nutmegdeal.bench.traffic import DISTURBANCE_SCENARIOS, Arrival, Scenario
from nutmegdeal.messages import Fate, Urgency

MS_PER_S = 1_000.0
PER_1000_REQUESTS = 1_000.0
RECOVERY_WINDOW_MS = 10_000.0
RECOVERY_STEP_MS = 1_000.0
RECOVERY_FACTOR = 1.1


@attrs.define(eq=False)
class RequestRecord:
    """Outcome and waits of one request.

    Parameters
    ----------
    arrival : Arrival
    fate : Fate or None
        None while the request is open.
    finished_ms : float
    load_stall_ms, queue_ms : float
        Waits of the attempt that produced the answer.
    agent_id : str
        Agent of the last attempt, "" if there was none.
    attempt_count : int
    """

    arrival: Arrival
    fate: Fate | None = None
    finished_ms: float = 0.0
    load_stall_ms: float = 0.0
    queue_ms: float = 0.0
    agent_id: str = ""
    attempt_count: int = 0

    @property
    def is_good(self):
        """True if the complete answer arrived by the deadline."""
        if self.fate is not Fate.COMPLETED:
            return False
        return self.finished_ms <= self.arrival.deadline_ms

    def record_sent_attempt(self, agent_id):
        """Record that an attempt was sent to an agent."""
        self.agent_id = agent_id
        self.attempt_count += 1

    def record_reported_waits(self, load_stall_ms, queue_ms):
        """Record the waits that an answer reports."""
        self.load_stall_ms = load_stall_ms
        self.queue_ms = queue_ms

    def finish(self, fate, now_ms):
        """Record the final answer to the caller."""
        self.fate = fate
        self.finished_ms = now_ms


@attrs.frozen
class Waits:
    """Distribution of waits in ms; all fields are 0 if there are none."""

    count: int
    mean_ms: float
    p50_ms: float
    p95_ms: float
    p99_ms: float


@attrs.frozen
class ClassResult:
    """Metrics of one urgency class.

    Parameters
    ----------
    offered_count : int
    good_count : int
        Requests answered completely and by their deadline.
    refused_count : int
        Requests refused without being run, immediately or later.
    late_refused_count : int
        Refused requests that waited for more than 1 % of the time from arrival to
        deadline.
    load_stall, queue : Waits
        Waits of the answered requests.
    """

    offered_count: int
    good_count: int
    refused_count: int
    late_refused_count: int
    load_stall: Waits
    queue: Waits


@attrs.frozen
class PolicyResult:
    """Metrics of one policy in one run.

    Parameters
    ----------
    all_classes : ClassResult
    classes : dict of str to ClassResult
        By urgency class.
    goodput_per_s : float
    batch_efficiency : float
        Mean fraction of the batch in use while an engine has work.
    load_count : int
    loads_per_1000 : float
        Loads per 1,000 answered requests.
    refused_fraction : float
    recovery_ms : float or None
        Time from the disturbance until the mean load stall of the next 10 s is within
        10 % of that before it; None if that is not reached or the scenario has no
        disturbance.
    fairness : float
        Jain's index over adapters of the fraction of requests answered in time.
    transit_max_count : int
        Largest number of concurrent loads.
    delayed_load_count : int
        Loads that were ordered earlier than the rate of the weight store allows and
        were therefore delayed.
    """

    all_classes: ClassResult
    classes: dict[str, ClassResult]
    goodput_per_s: float
    batch_efficiency: float
    load_count: int
    loads_per_1000: float
    refused_fraction: float
    recovery_ms: float | None
    fairness: float
    transit_max_count: int
    delayed_load_count: int


def percentile(ordered, fraction):
    """Return the nearest-rank quantile of sorted values, 0.0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


def summarize_waits(waits_ms):
    """Return the Waits of an iterable of floats in ms."""
    ordered = sorted(waits_ms)
    mean_ms = sum(ordered) / len(ordered) if ordered else 0.0
    values = [mean_ms] + [percentile(ordered, part) for part in (0.5, 0.95, 0.99)]
    return Waits(len(ordered), *(round(value, 1) for value in values))


LATE_REFUSAL_FRACTION = 0.01


def _is_late_refusal(record):
    arrival = record.arrival
    allowed_ms = (arrival.deadline_ms - arrival.at_ms) * LATE_REFUSAL_FRACTION
    return record.finished_ms - arrival.at_ms > allowed_ms


def summarize_class(records):
    """Return the ClassResult of a sequence of RequestRecord."""
    answered = [record for record in records if record.fate is Fate.COMPLETED]
    refused = [record for record in records if record.fate is Fate.NOT_RUN]
    return ClassResult(
        offered_count=len(records),
        good_count=sum(record.is_good for record in records),
        refused_count=len(refused),
        late_refused_count=sum(_is_late_refusal(record) for record in refused),
        load_stall=summarize_waits(record.load_stall_ms for record in answered),
        queue=summarize_waits(record.queue_ms for record in answered),
    )


def jain_fairness(records):
    """Return Jain's index of the fractions answered in time, over all adapters."""
    offered, good = collections.Counter(), collections.Counter()
    for record in records:
        offered[record.arrival.adapter] += 1
        good[record.arrival.adapter] += record.is_good
    fractions = [good[adapter] / offered[adapter] for adapter in offered]
    squares = sum(fraction**2 for fraction in fractions)
    if not squares:
        return 0.0
    return sum(fractions) ** 2 / (len(fractions) * squares)


def _mean_stall_ms(records, from_ms, to_ms):
    """Return the mean load stall of the requests that arrived in a span, or None.

    The stall of an unanswered request is the time from its arrival to its end.
    """
    stalls_ms = [
        record.load_stall_ms
        if record.fate is Fate.COMPLETED
        else record.finished_ms - record.arrival.at_ms
        for record in records
        if from_ms <= record.arrival.at_ms < to_ms
    ]
    return sum(stalls_ms) / len(stalls_ms) if stalls_ms else None


def recovery_ms(records, options):
    """Return the time until load stalls recover from the disturbance, or None."""
    if options.scenario not in DISTURBANCE_SCENARIOS:
        return None
    disturbance_ms = options.disturbance_at_ms
    steady_ms = _mean_stall_ms(records, options.warm_ms, disturbance_ms)
    from_ms = disturbance_ms
    while from_ms + RECOVERY_WINDOW_MS <= options.end_ms:
        mean_ms = _mean_stall_ms(records, from_ms, from_ms + RECOVERY_WINDOW_MS)
        if mean_ms is not None and mean_ms <= steady_ms * RECOVERY_FACTOR:
            return from_ms - disturbance_ms
        from_ms += RECOVERY_STEP_MS
    return None


def select_measured(records, options):
    """Return the records of requests that arrived in the measured time."""
    return [record for record in records if record.arrival.at_ms >= options.warm_ms]


def summarize(records, options, engines, schedule):
    """Return the PolicyResult of a run.

    Parameters
    ----------
    records : sequence of RequestRecord
        Requests of the measured time.
    options : RunOptions
    engines : sequence of FakeEngine
    schedule : TransferSchedule
    """
    overall = summarize_class(records)
    load_count = sum(engine.load_count for engine in engines)
    answered_count = overall.load_stall.count
    busy_ms = sum(engine.meter.busy_ms for engine in engines)
    filled_ms = sum(engine.meter.filled_ms for engine in engines)
    classes = {
        urgency.value: summarize_class(
            [record for record in records if record.arrival.urgency is urgency]
        )
        for urgency in Urgency
    }
    return PolicyResult(
        all_classes=overall,
        classes=classes,
        goodput_per_s=round(overall.good_count / options.measured_ms * MS_PER_S, 2),
        batch_efficiency=round(filled_ms / busy_ms, 3) if busy_ms else 0.0,
        load_count=load_count,
        loads_per_1000=round(
            load_count / max(1, answered_count) * PER_1000_REQUESTS, 1
        ),
        refused_fraction=round(overall.refused_count / max(1, len(records)), 4),
        recovery_ms=recovery_ms(records, options),
        fairness=round(jain_fairness(records), 3),
        transit_max_count=schedule.transit_count_max,
        delayed_load_count=schedule.delayed_count,
    )


def is_bulk_queue_finished(records, scenario):
    """Return whether all bulk requests are finished (False unless OVERNIGHT)."""
    if scenario is not Scenario.OVERNIGHT:
        return False
    return all(
        record.fate is not None
        for record in records
        if record.arrival.urgency is Urgency.BULK
    )
