"""Admission control: accepts a request, or refuses it at once with a retry time."""

import attrs

from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import Urgency

# Fraction of the queue that each urgency class may fill, so that bulk requests always
# leave places for more urgent ones.
QUEUE_FRACTION = {Urgency.URGENT: 1.0, Urgency.NORMAL: 0.75, Urgency.BULK: 0.5}
LEAVING_RETRY_MS = 1_000
UNAVAILABLE_RETRY_MS = 1_000
QUEUE_FULL_RETRY_MS = 500
# Forecasts lag behind a growing queue: without this margin, many requests that are
# expected to finish just in time would be cut off at their deadline.
FORECAST_MARGIN = 1.2


@attrs.frozen
class AdmissionView:
    """State of the agent on which the admission decision depends.

    Parameters
    ----------
    peer : str
        Id of this agent.
    is_leaving, has_policy, has_report : bool
    configuration : Configuration or None
    queued_count : int
        Requests waiting in the queue.
    queue_max : int
    queue_wait_ms : float
        Expected wait for a place in the batch.
    load_wait_ms : float
        Expected wait for the adapter, 0 if it is resident.
    run_ms : float
        Time that a request takes once it is dispatched, 0 if not known.
    may_dispatch : bool
        True if no other agent can be in charge of the backend server.
    needs_order : bool
        True if the adapter has to be loaded before the request can run.
    may_order : bool
        True if the lease allows load and unload orders.
    """

    peer: str
    configuration: object
    is_leaving: bool = False
    has_policy: bool = True
    has_report: bool = True
    queued_count: int = 0
    queue_max: int = 512
    queue_wait_ms: float = 0.0
    load_wait_ms: float = 0.0
    run_ms: float = 0.0
    may_dispatch: bool = True
    needs_order: bool = False
    may_order: bool = True


@attrs.frozen
class Refusal:
    """Refusal of a request.

    Parameters
    ----------
    failure : Failure
    retry_after_ms : float
        Time after which the caller may retry.
    """

    failure: Failure
    retry_after_ms: float


def refuse(view, reason, detail, retry_after_ms=UNAVAILABLE_RETRY_MS):
    """Return a Refusal in step ADMIT."""
    return Refusal(Failure(reason, Step.ADMIT, view.peer, detail), retry_after_ms)


def admit(submit, view, now_unix_ms):
    """Return None if a Submit is admitted, or a Refusal.

    Parameters
    ----------
    submit : Submit
    view : AdmissionView
    now_unix_ms : int
    """
    return (
        _check_agent(submit, view)
        or _check_configuration(submit, view)
        or _check_queue(submit, view)
        or _check_deadline(submit, view, now_unix_ms)
    )


def _check_agent(submit, view):
    if view.is_leaving:
        text = "the agent takes no new work"
        return refuse(view, Reason.LEAVING, text, LEAVING_RETRY_MS)
    if not view.has_policy:
        text = f"no configuration of service {submit.service!r} yet"
        return refuse(view, Reason.NOT_CONFIGURED, text)
    if not view.has_report:
        return refuse(view, Reason.NO_REPLICA, "the backend server has not reported")
    if not view.may_dispatch:
        return refuse(view, Reason.LEASE_LOST, "the lease is not held")
    if view.needs_order and not view.may_order:
        text = "the adapter is not resident and the lease allows no load now"
        return refuse(view, Reason.LEASE_LOST, text)
    return None


def _check_configuration(submit, view):
    """Refuse a request that the configuration in force here no longer allows."""
    configuration = view.configuration
    if submit.generation > configuration.generation:
        # The entry resolved the request under a newer configuration, so this agent's
        # may lack what the newer one allows.
        return None
    policy = configuration.services[submit.service]
    operation = policy.find_operation(submit.method, submit.path)
    if isinstance(operation, Failure):
        return refuse(view, Reason.STALE_GENERATION, operation.detail, 0)
    if submit.idempotent and not operation.idempotent:
        text = f"operation {operation.name} is not idempotent"
        return refuse(view, Reason.STALE_GENERATION, text, 0)
    return _check_adapter(submit, view)


def _check_adapter(submit, view):
    if not submit.adapter:
        return None
    adapter = view.configuration.adapters.get(submit.adapter)
    if adapter is not None and submit.version in adapter.versions:
        return None
    text = f"{submit.adapter}@{submit.version} is not served any more"
    return refuse(view, Reason.STALE_GENERATION, text, 0)


def _check_queue(submit, view):
    allowed_count = view.queue_max * QUEUE_FRACTION[submit.urgency]
    if view.queued_count < allowed_count:
        return None
    text = f"{view.queued_count} requests wait"
    retry_after_ms = max(view.queue_wait_ms, QUEUE_FULL_RETRY_MS)
    return refuse(view, Reason.QUEUE_FULL, text, retry_after_ms)


def _check_deadline(submit, view, now_unix_ms):
    remaining_ms = submit.deadline_unix_ms - now_unix_ms
    if remaining_ms <= 0:
        return refuse(view, Reason.DEADLINE_PASSED, "past its deadline on arrival")
    wait_ms = max(view.queue_wait_ms, view.load_wait_ms)
    if FORECAST_MARGIN * (wait_ms + view.run_ms) < remaining_ms:
        return None
    text = (
        f"expected wait {wait_ms:.0f} ms and run {view.run_ms:.0f} ms, "
        f"{remaining_ms:.0f} ms left"
    )
    return refuse(view, Reason.DEADLINE_UNREACHABLE, text, wait_ms)
