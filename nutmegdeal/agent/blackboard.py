"""What an agent knows now; its controllers read it and write their own part."""

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


RUN_SMOOTHING = 0.1


@attrs.define(eq=False)
class Blackboard:
    """State of one agent.

    Parameters
    ----------
    agent_id : str
        IP address and port of its channel.
    incarnation, service, zone : str
    configuration : Configuration or None
        The one in force, None before the first.
    slots : SlotTable
        Adapters at the model engine; empty for a plain service.
    attempts : dict of str to Attempt
        All attempts that have not ended, by id.
    running_greenlets : set of gevent.Greenlet
        Those that run an attempt, record its outcome or wait for an order's answer.
    sessions : set of sessions.Session
        Open streams.
    is_leaving : bool
        True once no new work is taken.
    has_report : bool
        True once the model engine has reported; always for a plain service.
    engine_batch_size_max : int or None
        Requests that the model engine says it runs at once, None if it said nothing.
    lease : Lease or None
        None for a plain service, which takes no orders.
    takeover : TakeoverGuard
    trusted_from_ms : float
        Reports of the engine that may be older say nothing reliable, since orders of
        a predecessor could still take effect after them.
    in_charge_until_ms : float
        Until when no other agent can be in charge, by the last check of the lease.
    run_ms : float
        Moving average of what a request takes at the backend server.
    wanted_load_count : int
        Loads for which there is or can be room, and that wait for the budget.
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
    trusted_from_ms: float = math.inf
    in_charge_until_ms: float = 0.0
    run_ms: float = 0.0
    wanted_load_count: int = 0
    loads_wanted: gevent.event.Event = attrs.field(factory=gevent.event.Event)
    changed: gevent.event.Event = attrs.field(factory=gevent.event.Event)

    @property
    def policy(self):
        """ServicePolicy in force, or None if there is none."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(self.service)

    def note_run(self, run_ms):
        """Note how long a request took at the backend server."""
        if self.run_ms == 0.0:
            self.run_ms = run_ms
        self.run_ms += RUN_SMOOTHING * (run_ms - self.run_ms)

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
        """Return whether new work can be taken (bool)."""
        return self.may_dispatch(now_ms) and self.has_report and not self.is_leaving

    def waiting(self):
        """Return the attempts that are not yet taken for dispatch, oldest first."""
        return [
            attempt
            for attempt in self.attempts.values()
            if attempt.state is AttemptState.WAITING
        ]

    def running_by_adapter(self):
        """Return the number of attempts in the batch or about to be, by engine name."""
        return collections.Counter(
            attempt.adapter
            for attempt in self.attempts.values()
            if attempt.state in RUNNING_STATES
        )

    def notify(self):
        """Wake the scheduler."""
        self.changed.set()
