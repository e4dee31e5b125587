"""Metrics of quotas."""

from prometheus_client import Counter

# The least urgent priority.
RANK_MAX = 9


class QuotaTelemetry:
    """Counts tokens by the priority of their tenants, as there may be many tenants.

    Parameters
    ----------
    telemetry : GatewayTelemetry
        Of the same gateway.
    """

    def __init__(self, telemetry):
        self.record_store_call = telemetry.record_store_call
        self._tokens = Counter(
            "nutmegdeal_quota_tokens",
            "Tokens, or requests, that were charged to tenants with a quota",
            ("change", "priority"),
            registry=telemetry.registry,
        )
        self._empty = Counter(
            "nutmegdeal_quota_empty_fetches",
            "Fetches of tokens that found too few",
            ("priority",),
            registry=telemetry.registry,
        )

    def record_granted(self, tenant, charge):
        """Record a request within the quota."""
        self._tokens.labels("granted", _name_priority(tenant)).inc(charge)

    def record_returned(self, tenant, charge):
        """Record a request that did not run."""
        self._tokens.labels("returned", _name_priority(tenant)).inc(charge)

    def record_refused(self, tenant, charge):
        """Record a request beyond the quota."""
        self._tokens.labels("refused", _name_priority(tenant)).inc(charge)

    def record_empty(self, tenant):
        """Record a fetch of tokens that found too few."""
        self._empty.labels(_name_priority(tenant)).inc()


def _name_priority(tenant):
    if tenant.rank is None:
        return "none"
    return str(min(max(tenant.rank, 0), RANK_MAX))
