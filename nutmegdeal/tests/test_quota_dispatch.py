"""Tests that the dispatcher charges requests, and returns what did not run."""

import attrs
import pytest

from nutmegdeal.gateway.dispatch import Dispatcher
from nutmegdeal.gateway.requests import Refusal, RunFate, RunOutcome
from nutmegdeal.incoming_requests import CallerLeftError, CallerShedError
from nutmegdeal.quotas.demand import count_charge
from nutmegdeal.site_configuration import Tenant
from nutmegdeal.tests import quota_builders as quotas
from nutmegdeal.tests.dispatch_harness import DispatchHarness

TENANT = Tenant("t-1", quota=quotas.build_quota())


class RecordingQuotas:
    """Quotas that record what is charged and returned."""

    def __init__(self, refusal=None):
        self.refusal = refusal
        self.admitted = []
        self.returned = []

    def admit(self, tenant, request_terms, now_ms):
        """Record a request."""
        self.admitted.append(tenant.name)
        return self.refusal

    def count(self, tenant, request_terms):
        """Return what a request counts."""
        return count_charge(tenant.quota, request_terms.usage_tokens)

    def give_back(self, request):
        """Record a returned charge."""
        self.returned.append(request.quota_charge)


class EndlessRunError(Exception):
    """A run that ends by an error of the gateway."""


@pytest.fixture
def harness(monkeypatch):
    """Return a DispatchHarness whose requests are those of a tenant."""

    def charge(self, request, request_terms):
        request.tenant = TENANT
        return original(self, request, request_terms)

    original = Dispatcher._charge
    monkeypatch.setattr(Dispatcher, "_charge", charge)
    running = DispatchHarness([lambda *args: None])
    running.quotas = RecordingQuotas()
    running.dispatcher._quotas = running.quotas
    yield running
    running.close()


def end_runs_with(harness, monkeypatch, outcome):
    """Let each run end with an outcome, or with an error."""

    def run(*args, **kwargs):
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    monkeypatch.setattr(harness.dispatcher._transport, "run", run)


@pytest.mark.parametrize(
    "fate", [RunFate.NOT_SENT, RunFate.COMPLETED, RunFate.MAYBE_RAN, RunFate.TIMED_OUT]
)
def test_charge_is_returned_only_if_no_server_may_have_run_it(
    harness, monkeypatch, fate
):
    """Returned tokens of a request that ran would raise the tenant's limit."""
    end_runs_with(harness, monkeypatch, RunOutcome(fate))
    harness.call()
    assert harness.quotas.admitted == ["t-1"]
    expected = [200.0] if fate is RunFate.NOT_SENT else []
    assert harness.quotas.returned == expected


@pytest.mark.parametrize("error", [CallerLeftError(), EndlessRunError()])
def test_charge_is_kept_if_the_fate_of_a_run_is_unknown(harness, monkeypatch, error):
    """The caller left during the run: the server may have run the request."""
    end_runs_with(harness, monkeypatch, error)
    with pytest.raises(type(error)):
        harness.call()
    assert harness.quotas.returned == []


def test_refused_request_is_not_sent(harness, monkeypatch):
    end_runs_with(harness, monkeypatch, EndlessRunError())
    harness.quotas.refusal = Refusal(429, "quota_exceeded", 1_234.0)
    harness.call()
    assert harness.responder.status_code == 429
    assert (b"retry-after", b"1.234") in harness.responder.headers
    assert harness.quotas.returned == []


def test_tenant_without_quota_is_not_charged(harness, monkeypatch):
    keeper, _ = quotas.build_keeper(harness.store, harness.clock)
    tenant = attrs.evolve(TENANT, quota=None)
    assert keeper.count(tenant, quotas.build_terms()) == 0.0
    assert keeper.admit(tenant, quotas.build_terms(), 0.0) is None


def test_request_that_is_shed_while_it_waits_for_tokens_is_refused(harness):
    """Its connection was closed without a log line, as if its caller had left."""

    def shed(*_args):
        raise CallerShedError(1_000, None, 2_000)

    harness.quotas.admit = shed
    harness.call()
    assert harness.responder.status_code == 503
    assert harness.responder.body == b"memory_short"
    assert dict(harness.responder.headers)[b"retry-after"]
