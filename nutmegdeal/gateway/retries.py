"""Decision whether a failed request is retried at another backend server.

Retries stay within a budget that all gateways share without communicating about it.
A request that may have run is not run again unless its route allows it.
"""

import enum

import attrs

from nutmegdeal.gateway.requests import RunFate

# Most servers to which one request is sent while each of them declines to run it.
SENDS_MAX = 3
# Most failed connects for one request; each takes a round trip or a connect timeout.
FAILED_CONNECTS_MAX = 6
# Least remaining time for a retry; a run needs at least this long to be useful.
RETRY_MIN_REMAINING_MS = 60.0
# Share of the allowed budget that is used. The rest covers requests that are counted
# late, and retries forgotten by a gateway that is killed and restarted.
BUDGET_SHARE = 0.8


class RetryDecision(enum.Enum):
    """Decision after a run that did not complete.

    ``KEEP``: the silent run that it was to replace goes on.
    """

    RETRY = "retry"
    GIVE_UP = "give_up"
    KEEP = "keep"


@attrs.define
class RetryDecider:
    """Decides on retries from the outcome of a run, the route and the retry budget.

    Parameters
    ----------
    budget : callable
        Returns the WindowedRetryBudget of a service.
    """

    _budget: object

    def decide(self, request, outcome, now_ms):
        """Return a RetryDecision.

        A retry after a run that reached a server spends the retry budget.

        Parameters
        ----------
        request : Request
        outcome : RunOutcome
        now_ms : float
        """
        if outcome.fate in (RunFate.COMPLETED, RunFate.TIMED_OUT):
            return RetryDecision.GIVE_UP
        if now_ms >= request.send_until_ms:
            return RetryDecision.GIVE_UP
        if request.is_suspected:
            return RetryDecision.GIVE_UP
        if request.deadline_ms - now_ms < RETRY_MIN_REMAINING_MS:
            return RetryDecision.GIVE_UP
        if outcome.fate is RunFate.NOT_SENT:
            may_connect = request.connect_count < FAILED_CONNECTS_MAX
            return RetryDecision.RETRY if may_connect else RetryDecision.GIVE_UP
        if outcome.fate is RunFate.NOT_RUN:
            is_allowed = request.sent_count < SENDS_MAX
        else:
            is_allowed = self._may_run_again(request)
        if not is_allowed:
            return RetryDecision.GIVE_UP
        if not self._try_spend(request, now_ms):
            return RetryDecision.GIVE_UP
        return RetryDecision.RETRY

    def try_replace(self, request, now_ms):
        """Return whether a silent run may be replaced; this spends the retry budget.

        Parameters
        ----------
        request : Request
        now_ms : float
        """
        if request.is_suspected:
            return False
        if request.deadline_ms - now_ms < RETRY_MIN_REMAINING_MS:
            return False
        if request.sent_count >= SENDS_MAX:
            return False
        if request.connect_count >= FAILED_CONNECTS_MAX:
            return False
        if not may_run_beside(request):
            return False
        return self._try_spend(request, now_ms)

    def give_back(self, request):
        """Return what was spent for a repeat of a request, unless it has been sent."""
        if request.unsent_retry_ms is not None:
            self._budget(request.service.name).give_back(request.unsent_retry_ms)
        request.unsent_retry_ms = None

    def _try_spend(self, request, now_ms):
        if not self._budget(request.service.name).try_spend(now_ms):
            return False
        request.unsent_retry_ms = now_ms
        return True

    def _may_run_again(self, request):
        if not request.is_repeatable:
            return False
        if request.superseded_ids:
            return True
        return request.run_count < request.route.attempts_max


def has_further_server(request, is_running):
    """Return whether a server that has not run a request yet may run it (bool).

    Parameters
    ----------
    request : Request
    is_running : bool
        Whether a server runs the request now, apart from its `open_run_count`.
    """
    begun_count = request.run_count + request.open_run_count + is_running
    return begun_count < request.route.attempts_max


def may_run_beside(request):
    """Return whether another server may run a request that runs now (bool)."""
    if not request.is_repeatable:
        return False
    return has_further_server(request, is_running=True) or bool(request.superseded_ids)


class RetryBudgets:
    """The retry budgets of this gateway, one for each service.

    Parameters
    ----------
    make_budget : callable
        Returns a WindowedRetryBudget.
    """

    def __init__(self, make_budget):
        self._make_budget = make_budget
        self._budgets = {}

    def budget_for(self, service_name):
        """Return the WindowedRetryBudget of a service."""
        budget = self._budgets.get(service_name)
        if budget is None:
            budget = self._budgets[service_name] = self._make_budget()
        return budget

    def earn(self, service_name, now_ms):
        """Count a request for a service, which adds to its budget."""
        self.budget_for(service_name).earn(now_ms)

    def set_burst(self, burst_count):
        """Set the burst of all budgets, in retries per window."""
        for budget in self._budgets.values():
            budget.set_burst_count(burst_count)
