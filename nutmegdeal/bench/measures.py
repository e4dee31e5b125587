"""What a run of the bench measures, from the log of its requests."""

import collections
import math

import attrs

from nutmegdeal.bench.traffic import DISTURBED, Arrival, Scenario
from nutmegdeal.messages import Fate, Urgency

MS_PER_S = 1_000.0
THOUSAND = 1_000.0
RECOVERY_WINDOW_MS = 10_000.0
RECOVERY_STEP_MS = 1_000.0
RECOVERY_FACTOR = 1.1


@attrs.define(eq=False)
class RequestLog:
    """What became of one request.

    Parameters
    ----------
    arrival : Arrival
    fate : Fate or None
        None while it is open.
    finished_ms : float
    load_stall_ms, queue_ms : float
        Waits of the attempt that gave the answer.
    agent_id : str
        Agent of the last attempt, "" for none.
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
        """True if the whole answer came before the deadline."""
        if self.fate is not Fate.COMPLETED:
            return False
        return self.finished_ms <= self.arrival.deadline_ms

    def attempted_at(self, agent_id):
        """Note that an attempt was sent to an agent."""
        self.agent_id = agent_id
        self.attempt_count += 1

    def note_waits(self, load_stall_ms, queue_ms):
        """Note the waits that an answer reports."""
        self.load_stall_ms = load_stall_ms
        self.queue_ms = queue_ms

    def finish(self, fate, now_ms):
        """Note the final answer to the caller."""
        self.fate = fate
        self.finished_ms = now_ms


@attrs.frozen
class Waits:
    """Distribution of waits in ms, all 0 without any."""

    count: int
    mean_ms: float
    p50_ms: float
    p95_ms: float
    p99_ms: float


@attrs.frozen
class ClassResult:
    """Measures of one class of urgency.

    Parameters
    ----------
    offered_count : int
    good_count : int
        Answered whole and in time.
    refused_count : int
        Not run, as was said at once or later.
    late_refused_count : int
        Those of the refused that waited for longer than a hundredth of their time.
    load_stall, queue : Waits
        Of the answered.
    """

    offered_count: int
    good_count: int
    refused_count: int
    late_refused_count: int
    load_stall: Waits
    queue: Waits


@attrs.frozen
class PolicyResult:
    """Measures of one policy in one run.

    Parameters
    ----------
    all_classes : ClassResult
    classes : dict of str to ClassResult
        By class of urgency.
    goodput_per_s : float
    batch_efficiency : float
        Mean fullness of the batches while an engine has work.
    load_count : int
    loads_per_1000 : float
        Loads per 1,000 answered requests.
    refused_fraction : float
    recovery_ms : float or None
        Time from the disturbance until the mean load stall of the next 10 s is within
        10 % of that before it; None if it is not reached or nothing was disturbed.
    fairness : float
        Jain's index of the adapters' fractions of requests answered in time.
    transit_max_count : int
        Most loads in transit at once.
    delayed_load_count : int
        Loads that were ordered before the weight store's rate allowed them.
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
    """Return the smallest value that a fraction of the sorted values do not exceed."""
    if not ordered:
        return 0.0
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


def summarize_waits(waits_ms):
    """Return the Waits of a sequence of floats."""
    ordered = sorted(waits_ms)
    mean_ms = sum(ordered) / len(ordered) if ordered else 0.0
    values = [mean_ms] + [percentile(ordered, part) for part in (0.5, 0.95, 0.99)]
    return Waits(len(ordered), *(round(value, 1) for value in values))


LATE_REFUSAL_FRACTION = 0.01


def _is_late_refusal(log):
    arrival = log.arrival
    allowed_ms = (arrival.deadline_ms - arrival.at_ms) * LATE_REFUSAL_FRACTION
    return log.finished_ms - arrival.at_ms > allowed_ms


def summarize_class(logs):
    """Return the ClassResult of a sequence of RequestLog."""
    answered = [log for log in logs if log.fate is Fate.COMPLETED]
    refused = [log for log in logs if log.fate is Fate.NOT_RUN]
    return ClassResult(
        offered_count=len(logs),
        good_count=sum(log.is_good for log in logs),
        refused_count=len(refused),
        late_refused_count=sum(_is_late_refusal(log) for log in refused),
        load_stall=summarize_waits(log.load_stall_ms for log in answered),
        queue=summarize_waits(log.queue_ms for log in answered),
    )


def jain_fairness(logs):
    """Return Jain's index of the adapters' fractions of requests answered in time."""
    offered, good = collections.Counter(), collections.Counter()
    for log in logs:
        offered[log.arrival.adapter] += 1
        good[log.arrival.adapter] += log.is_good
    fractions = [good[adapter] / offered[adapter] for adapter in offered]
    squares = sum(fraction**2 for fraction in fractions)
    if not squares:
        return 0.0
    return sum(fractions) ** 2 / (len(fractions) * squares)


def _mean_stall_ms(logs, from_ms, to_ms):
    """Return the mean stall of requests that arrived in a span, None without any.

    A request without an answer counts with the time from its arrival to its end.
    """
    stalls_ms = [
        log.load_stall_ms
        if log.fate is Fate.COMPLETED
        else log.finished_ms - log.arrival.at_ms
        for log in logs
        if from_ms <= log.arrival.at_ms < to_ms
    ]
    return sum(stalls_ms) / len(stalls_ms) if stalls_ms else None


def recovery_ms(logs, options):
    """Return the time that load stalls take to recover, or None."""
    if options.scenario not in DISTURBED:
        return None
    disturbed_ms = options.disturbed_at_ms
    steady_ms = _mean_stall_ms(logs, options.warm_ms, disturbed_ms)
    from_ms = disturbed_ms
    while from_ms + RECOVERY_WINDOW_MS <= options.end_ms:
        mean_ms = _mean_stall_ms(logs, from_ms, from_ms + RECOVERY_WINDOW_MS)
        if mean_ms is not None and mean_ms <= steady_ms * RECOVERY_FACTOR:
            return from_ms - disturbed_ms
        from_ms += RECOVERY_STEP_MS
    return None


def measured_logs(logs, options):
    """Return the logs of requests that arrived in the measured time."""
    return [log for log in logs if log.arrival.at_ms >= options.warm_ms]


def summarize(logs, options, engines, schedule):
    """Return the PolicyResult of a run.

    Parameters
    ----------
    logs : sequence of RequestLog
        Of the measured time.
    options : RunOptions
    engines : sequence of FakeEngine
    schedule : TransferSchedule
    """
    whole = summarize_class(logs)
    load_count = sum(engine.load_count for engine in engines)
    answered_count = whole.load_stall.count
    busy_ms = sum(engine.meter.busy_ms for engine in engines)
    filled_ms = sum(engine.meter.filled_ms for engine in engines)
    classes = {
        urgency.value: summarize_class(
            [log for log in logs if log.arrival.urgency is urgency]
        )
        for urgency in Urgency
    }
    return PolicyResult(
        all_classes=whole,
        classes=classes,
        goodput_per_s=round(whole.good_count / options.measured_ms * MS_PER_S, 2),
        batch_efficiency=round(filled_ms / busy_ms, 3) if busy_ms else 0.0,
        load_count=load_count,
        loads_per_1000=round(load_count / max(1, answered_count) * THOUSAND, 1),
        refused_fraction=round(whole.refused_count / max(1, len(logs)), 4),
        recovery_ms=recovery_ms(logs, options),
        fairness=round(jain_fairness(logs), 3),
        transit_max_count=schedule.transit_count_max,
        delayed_load_count=schedule.delayed_count,
    )


def is_intake_done(logs, scenario):
    """Return whether the overnight queue is finished (False in other scenarios)."""
    if scenario is not Scenario.OVERNIGHT:
        return False
    return all(
        log.fate is not None for log in logs if log.arrival.urgency is Urgency.BULK
    )
