"""Runs policies on generated traffic in simulated time and compares their metrics."""

import attrs

from nutmegdeal.bench.agent import SimulatedAgent
from nutmegdeal.bench.engine import FakeEngine
from nutmegdeal.bench.entry import NETWORK_DELAY_MS, SimulatedEntry
from nutmegdeal.bench.load_bound import count_fewest_loads
from nutmegdeal.bench.naive import NaivePolicies
from nutmegdeal.bench.policies import PolicyName, ProductionPolicies
from nutmegdeal.bench.policy_metrics import (
    PER_1000_REQUESTS,
    RequestRecord,
    is_bulk_queue_finished,
    select_measured,
    summarize,
)
from nutmegdeal.bench.simulation_loop import SimulationLoop
from nutmegdeal.bench.teams import SLOT_COUNT
from nutmegdeal.bench.traffic import Scenario, generate_arrivals
from nutmegdeal.fakes.transfers import TransferSchedule
from nutmegdeal.services.hosts import Host

REPORT_EVERY_MS = 500.0
HOST_LIST_LAG_MS = 2_000.0
DRAIN_MS = 60_000.0
DRAIN_STEP_MS = 1_000.0
OPEN_REQUESTS_MAX = 1_000
AGENT_HOST = "127.0.0.1"
POLICY_CLASSES = {PolicyName.OURS: ProductionPolicies, PolicyName.NAIVE: NaivePolicies}


@attrs.frozen
class Bound:
    """Best values that any policy could reach.

    Parameters
    ----------
    load_count : int
        Loads of Belady's replacement for the same dispatches at each engine.
    loads_per_1000 : float
    batch_efficiency : float
        1.0, always full batches.
    """

    load_count: int
    loads_per_1000: float
    batch_efficiency: float = 1.0


class SimulatedFleet:
    """Entries, agents, engines and the weight store of one simulated run.

    Parameters
    ----------
    options : RunOptions
    policies : PolicySet
    """

    def __init__(self, options, policies):
        self.options = options
        self.loop = SimulationLoop()
        weight_store = policies.configuration.weight_store
        self.schedule = TransferSchedule(weight_store)
        self.token_counts = {}
        self.records = []
        team = options.team
        hosts = [self._build_host(team, number) for number in range(team.engine_count)]
        self.agents = {
            host.host_id: self._build_agent(host, policies) for host in hosts
        }
        self.entries = [
            SimulatedEntry(f"entry-{zone}", zone, self.loop, self.agents, policies)
            for zone in team.zones
        ]

    @property
    def engines(self):
        """FakeEngines of all agents (list)."""
        return [agent.engine for agent in self.agents.values()]

    def _build_host(self, team, number):
        zone = team.zones[number % len(team.zones)]
        return Host(f"{team.service}-{number}", team.service, zone, AGENT_HOST, 1)

    def _build_agent(self, host, policies):
        engine = FakeEngine(host.host_id, self.loop, self.schedule)
        return SimulatedAgent(host, self.loop, engine, policies, self.token_counts)

    def run(self, arrivals):
        """Run the traffic and the disturbance of the scenario to their end."""
        for number, arrival in enumerate(arrivals):
            self.loop.call_at(arrival.at_ms, self._start_request, number, arrival)
        self.loop.call_at(0.0, self._exchange_reports)
        self.loop.call_at(self.options.warm_ms, self._begin_measuring)
        self.loop.call_at(self.options.disturbance_at_ms, self._apply_disturbance)
        self.loop.run(self.options.end_ms)
        self._end_measuring()
        if not self.loop.is_stopped:
            self._drain()

    def _start_request(self, number, arrival):
        request_id = f"r-{number}"
        self.token_counts[request_id] = arrival.token_count
        record = RequestRecord(arrival)
        self.records.append(record)
        self.entries[number % len(self.entries)].start_request(request_id, record)

    def _exchange_reports(self):
        for agent_id, agent in self.agents.items():
            if agent.engine.is_down:
                continue
            agent.read_engine_report(REPORT_EVERY_MS)
            report = agent.build_report()
            for entry in self.entries:
                self.loop.call_later(
                    NETWORK_DELAY_MS, entry.receive_report, agent_id, report
                )
        if self._is_bulk_queue_finished():
            self._end_measuring()
        if self.options.stops_on_failure and self._has_failed():
            self.loop.stop()
            return
        self.loop.call_later(REPORT_EVERY_MS, self._exchange_reports)

    def _has_failed(self):
        measured = select_measured(self.records, self.options)
        open_count = sum(record.fate is None for record in measured)
        is_late = any(
            not record.is_good for record in measured if record.fate is not None
        )
        return is_late or open_count > OPEN_REQUESTS_MAX

    def _is_bulk_queue_finished(self):
        options = self.options
        if self.loop.now_ms < options.warm_ms + DRAIN_MS / 2:
            return False
        return is_bulk_queue_finished(self.records, options.scenario)

    def _begin_measuring(self):
        for engine in self.engines:
            engine.meter.reset(self.loop.now_ms)
            engine.load_count = 0

    def _end_measuring(self):
        for engine in self.engines:
            engine.meter.stop(self.loop.now_ms)

    def _drain(self):
        """Run until all requests have ended, without counting further loads.

        Stops after `DRAIN_MS` even if requests are still open.
        """
        load_counts = [engine.load_count for engine in self.engines]
        until_ms = self.loop.now_ms + DRAIN_MS
        while self.loop.now_ms < until_ms:
            if all(record.fate is not None for record in self.records):
                break
            self.loop.run(self.loop.now_ms + DRAIN_STEP_MS)
        for engine, load_count in zip(self.engines, load_counts, strict=True):
            engine.load_count = load_count

    def _apply_disturbance(self):
        scenario = self.options.scenario
        if scenario is Scenario.COLD_RESTART:
            next(iter(self.agents.values())).engine.restart()
        if scenario is Scenario.HALF_RATE:
            self.schedule.rate_factor = 0.5
        if scenario is Scenario.ZONE_LOSS:
            self._fail_zone(self.options.team.zones[-1])

    def _fail_zone(self, zone):
        lost_agents = [
            agent for agent in self.agents.values() if agent.host.zone == zone
        ]
        self.entries = self.entries[:-1]
        for agent in lost_agents:
            agent.shut_down()
            for entry in self.entries:
                entry.disconnect_agent(agent.host.host_id)
        remaining_hosts = [
            agent.host for agent in self.agents.values() if agent not in lost_agents
        ]
        for entry in self.entries:
            self.loop.call_later(HOST_LIST_LAG_MS, entry.replace_hosts, remaining_hosts)

    def measure(self):
        """Return the PolicyResult of the run."""
        records = select_measured(self.records, self.options)
        return summarize(records, self.options, self.engines, self.schedule)

    def compute_bound(self):
        """Return the Bound, given the engine to which each request was dispatched."""
        from_ms, end_ms = self.options.warm_ms, self.options.end_ms
        load_count = sum(
            count_fewest_loads(
                [
                    dispatch
                    for dispatch in engine.dispatches
                    if dispatch.at_ms <= end_ms
                ],
                SLOT_COUNT,
                from_ms,
            )
            for engine in self.engines
        )
        answered_count = self.measure().all_classes.load_stall.count
        return Bound(
            load_count,
            round(load_count / max(1, answered_count) * PER_1000_REQUESTS, 1),
        )


def run_policy(name, options, arrivals=None):
    """Run one policy and return its SimulatedFleet.

    Parameters
    ----------
    name : PolicyName
    options : RunOptions
    arrivals : sequence of Arrival or None
        Generated from `options` if None.
    """
    configuration = options.team.build_configuration()
    policy_class = POLICY_CLASSES[name]
    policies = policy_class(configuration, options.team.engine_count, options.seed)
    fleet = SimulatedFleet(options, policies)
    fleet.run(generate_arrivals(options) if arrivals is None else arrivals)
    return fleet


@attrs.frozen
class Comparison:
    """Results of the policies on the same traffic, and the bound for ours."""

    team: str
    scenario: str
    seed: int
    skew: float
    rate_per_s: float
    ours: object
    naive: object
    bound: Bound


def compare_policies(options):
    """Return the Comparison of the policies under the same RunOptions."""
    arrivals = generate_arrivals(options)
    ours = run_policy(PolicyName.OURS, options, arrivals)
    naive = run_policy(PolicyName.NAIVE, options, arrivals)
    return Comparison(
        options.team.name,
        options.scenario.value,
        options.seed,
        options.skew,
        options.rate_per_s,
        ours.measure(),
        naive.measure(),
        ours.compute_bound(),
    )
