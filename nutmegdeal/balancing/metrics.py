"""Metrics of the speed and the load of backend servers, computed at each scrape.

They exist only for servers of services whose speed is known, and only while a server is
registered, which bounds their number.
"""

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from nutmegdeal.balancing.load_estimate import estimate_load

_LABELS = ("service", "backend")


class BalancingCollector(Collector):
    """Collects the metrics of the members of one gateway.

    Parameters
    ----------
    membership : Membership
    clock : Clock
    """

    def __init__(self, membership, clock):
        self._membership = membership
        self._clock = clock

    def collect(self):
        """Return the metrics; those without a server have no lines."""
        now_ms = self._clock.monotonic_ms()
        members = [
            member
            for member in list(self._membership.members.values())
            if member.speed.service.is_stated
        ]
        return [
            _build_gauge(
                "nutmegdeal_backend_work_time_ratio",
                "Time that work takes at the server, over the usual time",
                members,
                lambda member: member.speed.factor(now_ms),
            ),
            _build_gauge(
                "nutmegdeal_backend_load_reported",
                "Requests at the server in its last report",
                members,
                lambda member: member.running_count + member.waiting_count,
            ),
            _build_gauge(
                "nutmegdeal_backend_load_estimated",
                "Requests at the server as estimated now",
                members,
                lambda member: estimate_load(member, now_ms),
            ),
            _build_gauge(
                "nutmegdeal_backend_load_error",
                "Average difference between the estimate and the next report",
                members,
                lambda member: member.trend.error,
            ),
        ]


def _build_gauge(name, text, members, read):
    gauge = GaugeMetricFamily(name, text, labels=_LABELS)
    for member in members:
        labels = (member.backend.service, member.backend_id)
        gauge.add_metric(labels, read(member))
    return gauge
