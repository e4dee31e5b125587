"""State that an entry keeps for one agent: stream, last report and attempts."""

import attrs
import gevent.event

from nutmegdeal.addresses import Address
from nutmegdeal.entry.routing import ReplicaView
from nutmegdeal.errors import Failure
from nutmegdeal.identifiers import AdapterRef

# Weight of the latest duration in the moving average.
DURATION_SMOOTHING = 0.1


@attrs.frozen
class AttemptLost:
    """The stream on which an attempt was sent has been closed."""

    attempt_id: str
    failure: Failure


class AgentLink:
    """State of one agent as seen by this entry.

    Parameters
    ----------
    host : Host
        Host of the agent, from the host list.
    """

    def __init__(self, host):
        self.host = host
        self.session = None
        self.open_result = None
        self.report_received = gevent.event.Event()
        self.report = None
        self.resident = frozenset()
        self.reported_at_ms = 0.0
        self.sent_since_report_count = 0
        self.sent_adapters = set()
        self.backoff_until_ms = 0.0
        self.failure_count = 0
        self.close_at_ms = 0.0
        self.mean_duration_ms = 0.0
        self.inboxes = {}

    @property
    def address(self):
        """Address of the agent's channel."""
        return Address(self.host.agent_host, self.host.agent_port)

    @property
    def is_open(self):
        """True if a stream is open."""
        return self.session is not None and self.session.is_open

    @property
    def incarnation(self):
        """Incarnation of the agent, "" before its first report."""
        return self.report.incarnation if self.report else ""

    @property
    def is_leaving(self):
        """True if the agent reported that it takes no new work."""
        return self.is_open and self.report is not None and self.report.leaving

    def take_report(self, report, now_ms):
        """Replace the agent's state by an AgentReport."""
        self.report = report
        self.resident = frozenset(report.resident)
        self.reported_at_ms = now_ms
        self.sent_since_report_count = 0
        self.sent_adapters.clear()
        self.report_received.set()

    def take_load_hint(self, hint, now_ms):
        """Update the last report with a LoadHint."""
        if self.report is None:
            return
        self.report = attrs.evolve(
            self.report,
            queued_count=hint.queued_count,
            running_count=hint.running_count,
            queue_wait_ms=hint.queue_wait_ms,
            load_wait_ms=hint.load_wait_ms,
        )
        self.reported_at_ms = now_ms
        self.sent_since_report_count = 0

    def count_unreported_submit(self, submit):
        """Count a Submit that the last report does not include."""
        self.sent_since_report_count += 1
        if submit.adapter:
            ref = AdapterRef(submit.adapter, submit.version)
            self.sent_adapters.add(ref.engine_name)

    def record_duration(self, duration_ms):
        """Add the duration of an ended attempt to the moving average."""
        self.mean_duration_ms += DURATION_SMOOTHING * (
            duration_ms - self.mean_duration_ms
        )

    def view(self, adapter, concurrency_max, now_ms):
        """Return the ReplicaView of this agent.

        Parameters
        ----------
        adapter : str
            Engine name, "" for a plain service.
        concurrency_max : int
            Requests that the backend server runs concurrently.
        now_ms : float
        """
        report = self.report
        return ReplicaView(
            agent_id=self.host.host_id,
            zone=self.host.zone,
            reported_wait_ms=report.queue_wait_ms if report else 0.0,
            reported_age_ms=now_ms - self.reported_at_ms if report else 0.0,
            service_ms=self.mean_duration_ms / concurrency_max,
            sent_since_report_count=self.sent_since_report_count,
            in_flight_count=len(self.inboxes),
            is_resident=adapter in self.resident or adapter in self.sent_adapters,
            load_wait_ms=report.load_wait_ms if report else 0.0,
        )
