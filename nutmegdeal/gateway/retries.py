"""Decides whether a request is sent to another backend server.

Answers the load of failing servers: retries stay within a budget that all gateways
share without talking, and a request that may have run is never run twice unless its
route allows it.
"""

import enum

import attrs

from nutmegdeal.gateway.requests import RunFate

# Servers that one request is offered to at most while none of them runs it.
SENDS_MAX = 3
# Connects that may fail in vain; each costs a round trip or a connect timeout.
FAILED_CONNECTS_MAX = 6
# Time that a further run needs at least to be of any use.
RETRY_MIN_REMAINING_MS = 60.0
# Part of the budget that is used; the rest covers requests counted late, and what a
# gateway has spent that is killed and starts anew.
BUDGET_SHARE = 0.8


class Verdict(enum.Enum):
    """What to do after a run that did not complete."""

    RETRY = "retry"
    GIVE_UP = "give_up"


@attrs.define
class RetryDecider:
    """Decides from the outcome, the route and the budget.

    Parameters
    ----------
    budget : callable
        Returns the WindowedRetryBudget of a service.
    """

    _budget: object

    def decide(self, request, outcome, now_ms):
        """Return a Verdict; a retry that reaches a server is taken off the budget."""
        if outcome.fate in (RunFate.COMPLETED, RunFate.TIMED_OUT):
            return Verdict.GIVE_UP
        if request.deadline_ms - now_ms < RETRY_MIN_REMAINING_MS:
            return Verdict.GIVE_UP
        if outcome.fate is RunFate.NOT_SENT:
            may_connect = request.connect_count < FAILED_CONNECTS_MAX
            return Verdict.RETRY if may_connect else Verdict.GIVE_UP
        if outcome.fate is RunFate.NOT_RUN:
            is_allowed = request.sent_count < SENDS_MAX
        else:
            is_allowed = self._may_run_again(request)
        if not is_allowed:
            return Verdict.GIVE_UP
        if not self._budget(request.service.name).try_spend(now_ms):
            return Verdict.GIVE_UP
        return Verdict.RETRY

    def _may_run_again(self, request):
        if not request.route.is_repeatable:
            return False
        return request.run_count < request.route.attempts_max


class RetryBudgets:
    """The retry budget of each service, and this gateway's share of the burst.

    Parameters
    ----------
    make_budget : callable
        Returns a WindowedRetryBudget.
    """

    def __init__(self, make_budget):
        self._make_budget = make_budget
        self._budgets = {}

    def of(self, service_name):
        """Return the WindowedRetryBudget of a service."""
        budget = self._budgets.get(service_name)
        if budget is None:
            budget = self._budgets[service_name] = self._make_budget()
        return budget

    def earn(self, service_name, now_ms):
        """Note a request for a service."""
        self.of(service_name).earn(now_ms)

    def limit(self, burst_count):
        """Change the burst of all budgets."""
        for budget in self._budgets.values():
            budget.limit(burst_count)
