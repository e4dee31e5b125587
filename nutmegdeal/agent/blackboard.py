"""State of an agent, shared by its controllers, each of which writes its own part."""

import collections
import math

import attrs
import gevent.event

from nutmegdeal.agent.attempts import Attempt, AttemptState
from nutmegdeal.agent.slots import SlotTable
from nutmegdeal.agent.takeover import TakeoverGuard
from nutmegdeal.configuration import Configuration
from nutmegdeal.leases import Lease

RUNNING_STATES = (AttemptState.CLAIMING, AttemptState.DISPATCHED)
RUN_TIME_SMOOTHING = 0.1


@attrs.define(eq=False)
class Blackboard:
    """State of one agent.

    Parameters
    ----------
    agent_id : str
        IP address and port of its channel.
    incarnation, service, zone : str
    configuration : Configuration or None
        The configuration in force, None before the first one.
    slots : SlotTable
        Adapters at the model engine; empty for a plain service.
    attempts : dict of str to Attempt
        All attempts that have not ended, by id.
    running_greenlets : set of gevent.Greenlet
        Greenlets that run an attempt, record its outcome or wait for the answer to an
        order.
    sessions : set of sessions.Session
        Open streams.
    is_leaving : bool
        True once the agent accepts no new requests.
    has_report : bool
        True once the model engine has reported; always for a plain service.
    engine_batch_size_max : int or None
        Concurrent requests that the model engine reports it can run, None if it
        reports no number.
    lease : Lease or None
        None for a plain service, which takes no orders.
    takeover : TakeoverGuard
    reports_trusted_from_ms : float
        Reports of the engine that may be older than this are ignored, since orders of
        a predecessor could still take effect after them.
    in_charge_until_ms : float
        Time until which no other agent can be in charge, by the last check of the
        lease.
    mean_run_ms : float
        Moving average of the time that a request takes at the backend server, 0
        before the first.
    wanted_load_count : int
        Loads that wait for the budget and for which a slot is or can be made free.
    loads_wanted : gevent.event.Event
        Set when there are such loads.
    changed : gevent.event.Event
        Set when there may be something to plan.
    """

    agent_id: str
    incarnation: str
    service: str
    zone: str
    configuration: Configuration | None = None
    slots: SlotTable = attrs.field(factory=lambda: SlotTable(0))
    attempts: dict[str, Attempt] = attrs.field(factory=dict)
    running_greenlets: set = attrs.field(factory=set)
    sessions: set = attrs.field(factory=set)
    is_leaving: bool = False
    has_report: bool = False
    engine_batch_size_max: int | None = None
    lease: Lease | None = None
    takeover: TakeoverGuard = attrs.field(factory=TakeoverGuard)
    reports_trusted_from_ms: float = math.inf
    in_charge_until_ms: float = 0.0
    mean_run_ms: float = 0.0
    wanted_load_count: int = 0
    loads_wanted: gevent.event.Event = attrs.field(factory=gevent.event.Event)
    changed: gevent.event.Event = attrs.field(factory=gevent.event.Event)

    @property
    def policy(self):
        """ServicePolicy in force, or None if there is none."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(self.service)

    def record_run_time(self, run_ms):
        """Record how long a request took at the backend server."""
        if self.mean_run_ms == 0.0:
            self.mean_run_ms = run_ms
        self.mean_run_ms += RUN_TIME_SMOOTHING * (run_ms - self.mean_run_ms)

    @property
    def batch_size_max(self):
        """Requests that the backend server runs at once (int)."""
        if self.policy is None:
            return 1
        reported = self.engine_batch_size_max or self.policy.concurrency_max
        return min(reported, self.policy.concurrency_max)

    @property
    def may_order(self):
        """True if the lease allows load and unload orders now."""
        return self.lease is not None and self.lease.may_order()

    @property
    def generation(self):
        """Generation of the configuration in force, 0 before the first."""
        return self.configuration.generation if self.configuration else 0

    def may_dispatch(self, now_ms):
        """Return whether this agent is known to be in charge (bool)."""
        return self.policy is not None and now_ms < self.in_charge_until_ms

    def is_ready(self, now_ms):
        """Return whether new requests can be accepted (bool)."""
        return self.may_dispatch(now_ms) and self.has_report and not self.is_leaving

    def waiting(self):
        """Return the attempts not yet selected for dispatch, oldest first."""
        return [
            attempt
            for attempt in self.attempts.values()
            if attempt.state is AttemptState.WAITING
        ]

    def running_by_adapter(self):
        """Return the number of attempts in the batch or about to join, by adapter."""
        return collections.Counter(
            attempt.adapter
            for attempt in self.attempts.values()
            if attempt.state in RUNNING_STATES
        )

    def notify(self):
        """Wake the scheduler."""
        self.changed.set()
