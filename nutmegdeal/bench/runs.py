"""One run of the bench: builds a fleet, plays traffic at it and measures."""

import attrs

from nutmegdeal.bench.agent import BenchAgent
from nutmegdeal.bench.bound import count_fewest_loads
from nutmegdeal.bench.engine import FakeEngine
from nutmegdeal.bench.entry import HOP_MS, BenchEntry
from nutmegdeal.bench.loop import SimulationLoop
from nutmegdeal.bench.measures import (
    THOUSAND,
    RequestLog,
    is_intake_done,
    measured_logs,
    summarize,
)
from nutmegdeal.bench.naive import NaivePolicies
from nutmegdeal.bench.policies import OwnPolicies, PolicyName
from nutmegdeal.bench.teams import SLOT_COUNT
from nutmegdeal.bench.traffic import Scenario, generate_arrivals
from nutmegdeal.fakes.transfers import TransferSchedule
from nutmegdeal.services.hosts import Host

REPORT_EVERY_MS = 500.0
HOST_LIST_LAG_MS = 2_000.0
DRAIN_MS = 60_000.0
DRAIN_STEP_MS = 1_000.0
OPEN_MAX_COUNT = 1_000
AGENT_HOST = "127.0.0.1"
POLICY_CLASSES = {PolicyName.OURS: OwnPolicies, PolicyName.NAIVE: NaivePolicies}


@attrs.frozen
class Bound:
    """What no policy can better.

    Parameters
    ----------
    load_count : int
        Belady's loads for the same dispatches at each engine.
    loads_per_1000 : float
    batch_efficiency : float
        Full batches.
    """

    load_count: int
    loads_per_1000: float
    batch_efficiency: float = 1.0


class Fleet:
    """Entries, agents, engines and the weight store of one run.

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
        self.logs = []
        team = options.team
        hosts = [self._build_host(team, number) for number in range(team.engine_count)]
        self.agents = {
            host.host_id: self._build_agent(host, policies) for host in hosts
        }
        self.entries = [
            BenchEntry(f"entry-{zone}", zone, self.loop, self.agents, policies)
            for zone in team.zones
        ]

    @property
    def engines(self):
        """The FakeEngines."""
        return [agent.engine for agent in self.agents.values()]

    def _build_host(self, team, number):
        zone = team.zones[number % len(team.zones)]
        return Host(f"{team.service}-{number}", team.service, zone, AGENT_HOST, 1)

    def _build_agent(self, host, policies):
        engine = FakeEngine(host.host_id, self.loop, self.schedule)
        return BenchAgent(host, self.loop, engine, policies, self.token_counts)

    def play(self, arrivals):
        """Play the traffic and the scenario's disturbance to their end."""
        for number, arrival in enumerate(arrivals):
            self.loop.call_at(arrival.at_ms, self._arrive, number, arrival)
        self.loop.call_at(0.0, self._report)
        self.loop.call_at(self.options.warm_ms, self._begin_measuring)
        self.loop.call_at(self.options.disturbed_at_ms, self._disturb)
        self.loop.run(self.options.end_ms)
        self._end_measuring()
        if not self.loop.is_stopped:
            self._drain()

    def _arrive(self, number, arrival):
        request_id = f"r-{number}"
        self.token_counts[request_id] = arrival.token_count
        log = RequestLog(arrival)
        self.logs.append(log)
        self.entries[number % len(self.entries)].begin(request_id, log)

    def _report(self):
        for agent_id, agent in self.agents.items():
            if agent.engine.is_down:
                continue
            agent.read_engine_report(REPORT_EVERY_MS)
            report = agent.build_report()
            for entry in self.entries:
                self.loop.call_later(HOP_MS, entry.take_report, agent_id, report)
        if self._is_intake_done():
            self._end_measuring()
        if self.options.stops_when_refused and self._has_failed():
            self.loop.stop()
            return
        self.loop.call_later(REPORT_EVERY_MS, self._report)

    def _has_failed(self):
        measured = measured_logs(self.logs, self.options)
        open_count = sum(log.fate is None for log in measured)
        is_late = any(not log.is_good for log in measured if log.fate is not None)
        return is_late or open_count > OPEN_MAX_COUNT

    def _is_intake_done(self):
        options = self.options
        if self.loop.now_ms < options.warm_ms + DRAIN_MS / 2:
            return False
        return is_intake_done(self.logs, options.scenario)

    def _begin_measuring(self):
        for engine in self.engines:
            engine.meter.reset(self.loop.now_ms)
            engine.load_count = 0

    def _end_measuring(self):
        for engine in self.engines:
            engine.meter.stop(self.loop.now_ms)

    def _drain(self):
        load_counts = [engine.load_count for engine in self.engines]
        until_ms = self.loop.now_ms + DRAIN_MS
        while self.loop.now_ms < until_ms:
            if all(log.fate is not None for log in self.logs):
                break
            self.loop.run(self.loop.now_ms + DRAIN_STEP_MS)
        for engine, load_count in zip(self.engines, load_counts, strict=True):
            engine.load_count = load_count

    def _disturb(self):
        scenario = self.options.scenario
        if scenario is Scenario.COLD_RESTART:
            next(iter(self.agents.values())).engine.restart()
        if scenario is Scenario.HALF_RATE:
            self.schedule.rate_factor = 0.5
        if scenario is Scenario.ZONE_LOSS:
            self._lose_zone(self.options.team.zones[-1])

    def _lose_zone(self, zone):
        lost = [agent for agent in self.agents.values() if agent.host.zone == zone]
        self.entries = self.entries[:-1]
        for agent in lost:
            agent.shut_down()
            for entry in self.entries:
                entry.lose_agent(agent.host.host_id)
        left = [agent.host for agent in self.agents.values() if agent not in lost]
        for entry in self.entries:
            self.loop.call_later(HOST_LIST_LAG_MS, entry.replace_hosts, left)

    def measure(self):
        """Return the PolicyResult of the run."""
        logs = measured_logs(self.logs, self.options)
        return summarize(logs, self.options, self.engines, self.schedule)

    def find_bound(self):
        """Return the Bound for the run's own assignment of requests."""
        from_ms, end_ms = self.options.warm_ms, self.options.end_ms
        load_count = sum(
            count_fewest_loads(
                [use for use in engine.uses if use.at_ms <= end_ms], SLOT_COUNT, from_ms
            )
            for engine in self.engines
        )
        answered_count = self.measure().all_classes.load_stall.count
        return Bound(
            load_count, round(load_count / max(1, answered_count) * THOUSAND, 1)
        )


def play_policy(name, options, arrivals=None):
    """Return the Fleet after a run of one policy.

    Parameters
    ----------
    name : PolicyName
    options : RunOptions
    arrivals : sequence of Arrival or None
        Generated from the options if None.
    """
    configuration = options.team.build_configuration()
    policy_class = POLICY_CLASSES[name]
    policies = policy_class(configuration, options.team.engine_count, options.seed)
    fleet = Fleet(options, policies)
    fleet.play(generate_arrivals(options) if arrivals is None else arrivals)
    return fleet


@attrs.frozen
class Comparison:
    """Results of all policies on the same traffic."""

    team: str
    scenario: str
    seed: int
    skew: float
    rate_per_s: float
    ours: object
    naive: object
    bound: Bound


def compare(options):
    """Return the Comparison of one run's options."""
    arrivals = generate_arrivals(options)
    ours = play_policy(PolicyName.OURS, options, arrivals)
    naive = play_policy(PolicyName.NAIVE, options, arrivals)
    return Comparison(
        options.team.name,
        options.scenario.value,
        options.seed,
        options.skew,
        options.rate_per_s,
        ours.measure(),
        naive.measure(),
        ours.find_bound(),
    )
