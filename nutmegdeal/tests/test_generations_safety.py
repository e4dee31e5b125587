"""An accepted configuration is in force and never replaced by an older one.

The state machine runs concurrent operators, lost answers, store failures at each step,
and processes that restart, stall or learn of generations from peers. It must also
detect each deliberately faulty version.
"""

import functools

import attrs
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from nutmegdeal import acceptance
from nutmegdeal.acceptance import Accepted, Superseded
from nutmegdeal.clock import ManualClock
from nutmegdeal.configuration_head import generation_key, read_configuration_head
from nutmegdeal.errors import Failure
from nutmegdeal.fakes.memory import MemoryObjects, MemoryTable
from nutmegdeal.generations import StoredConfigurationTracker
from nutmegdeal.services.table import Write
from nutmegdeal.tests.builders import build_configuration
from nutmegdeal.tests.state_machine_settings import (
    STATE_MACHINE_SETTINGS,
    faulty_version_settings,
)
from nutmegdeal.tests.stepping import (
    STORE_CALLS,
    Actor,
    CallOutcome,
    SteppedObjects,
    SteppedTable,
    StoreCalls,
)

FULL_CONFIGURATION = build_configuration(generation=0)
INDEXES = st.integers(0, 23)


@functools.cache
def configuration_of(number):
    """Return a small configuration that only operator `number` proposes."""
    adapters = {"a": attrs.evolve(FULL_CONFIGURATION.adapters["quote-0000"], name="a")}
    region = f"region-{number}"
    return attrs.evolve(FULL_CONFIGURATION, region=region, adapters=adapters)


@attrs.define
class Operator:
    """A change to the configuration and the results that its operator received."""

    number: int
    base_generation: int
    results: list = attrs.Factory(list)

    @property
    def accept_id(self):
        return f"accept-{self.number}"

    @property
    def is_known_not_accepted(self):
        if any(isinstance(result, Superseded) for result in self.results):
            return True
        return bool(self.results) and all(
            isinstance(result, Failure) and not result.maybe_applied
            for result in self.results
        )


class GenerationsMachine(RuleBasedStateMachine):
    """Operators and configuration trackers over one table and one object store."""

    keeper_class = StoredConfigurationTracker
    accept = staticmethod(acceptance.accept)
    keeper_count = 3
    operator_max = 5

    def __init__(self):
        super().__init__()
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.calls = StoreCalls(self.table, self.objects)
        self.operators = []
        self.actors = []
        self.configuration_trackers = [
            self._new_configuration_tracker() for _ in range(self.keeper_count)
        ]
        self.seen_generations = [0] * self.keeper_count

    def _new_configuration_tracker(self):
        return self.keeper_class(SteppedTable(), SteppedObjects(), ManualClock())

    def _accepted_ids(self):
        """Return the accept id of each generation, from 1."""
        ids = []
        while head := read_configuration_head(self.table, generation_key(len(ids) + 1)):
            ids.append(head.head.accept_id)
        return ids

    def _waiting(self):
        return [actor for actor in self.actors if not actor.is_done]

    def _start_operator(self, operator):
        def program():
            result = self.accept(
                configuration_of(operator.number),
                operator.base_generation,
                operator.accept_id,
                SteppedTable(),
                SteppedObjects(),
            )
            operator.results.append(result)

        self.actors.append(Actor("operator", program))

    @precondition(lambda self: len(self.operators) < self.operator_max)
    @rule()
    def propose_change(self):
        """Let an operator change the generation that is in force now."""
        operator = Operator(len(self.operators), len(self._accepted_ids()))
        self.operators.append(operator)
        self._start_operator(operator)

    @precondition(lambda self: self.operators)
    @rule(index=INDEXES)
    def repeat(self, index):
        """Let an operator repeat an acceptance."""
        self._start_operator(self.operators[index % len(self.operators)])

    @rule(index=INDEXES)
    def refresh(self, index):
        """Let a process look for a newer generation."""
        configuration_tracker = self.configuration_trackers[index % self.keeper_count]
        self.actors.append(Actor("keeper", configuration_tracker.refresh))

    @rule(sender=INDEXES, receiver=INDEXES, with_manifest=st.booleans())
    def notify_peer(self, sender, receiver, with_manifest):
        """Let one process tell another which generation it has in force."""
        peer = self.configuration_trackers[sender % self.keeper_count]
        manifest = peer.manifest if with_manifest else ""
        self.configuration_trackers[
            receiver % self.keeper_count
        ].record_peer_generation(peer.generation, manifest)

    @rule(index=INDEXES)
    def restart_process(self, index):
        """Replace a process by a new one without any state."""
        index %= self.keeper_count
        self.configuration_trackers[index] = self._new_configuration_tracker()
        self.seen_generations[index] = 0

    @precondition(lambda self: self._waiting())
    @rule(
        index=INDEXES,
        call_outcome=st.sampled_from([*[CallOutcome.ANSWERED] * 6, *CallOutcome]),
    )
    def call(self, index, call_outcome):
        """Execute an actor's call of a store, or let it fail in some way."""
        actors = self._waiting()
        actor = actors[index % len(actors)]
        assert actor.waits_for.name in STORE_CALLS
        self.calls.carry_out(actor, call_outcome)

    @precondition(lambda self: self._waiting())
    @rule(index=INDEXES)
    def run_to_completion(self, index):
        """Answer an actor's calls until it is done."""
        actors = self._waiting()
        actor = actors[index % len(actors)]
        while not actor.is_done:
            self.calls.carry_out(actor, CallOutcome.ANSWERED)

    @precondition(lambda self: self._waiting())
    @rule(index=INDEXES)
    def crash(self, index):
        """Kill an operator's command or a refresh between two steps."""
        self.actors.remove(self._waiting()[index % len(self._waiting())])

    @precondition(lambda self: self.calls.delayed)
    @rule(index=INDEXES)
    def apply_delayed_write(self, index):
        """Apply a write that its sender has given up."""
        self.calls.apply_delayed_call(index)

    @invariant()
    def results_match_accepted_generations(self):
        """Check the operators' results against the accepted generations."""
        accepted = self._accepted_ids()
        assert len(set(accepted)) == len(accepted)
        for operator in self.operators:
            for result in operator.results:
                if isinstance(result, Accepted):
                    assert accepted[result.generation - 1] == operator.accept_id
                    assert result.generation == operator.base_generation + 1
                if isinstance(result, Superseded):
                    assert result.changes
            if operator.is_known_not_accepted:
                assert operator.accept_id not in accepted

    @invariant()
    def generations_never_decrease(self):
        """Check that each process has an accepted configuration and never goes back."""
        accepted = self._accepted_ids()
        for index, configuration_tracker in enumerate(self.configuration_trackers):
            generation = configuration_tracker.generation
            assert generation >= self.seen_generations[index]
            self.seen_generations[index] = generation
            if generation:
                number = int(accepted[generation - 1].rpartition("-")[2])
                expected = attrs.evolve(configuration_of(number), generation=generation)
                assert configuration_tracker.current == expected

    def teardown(self):
        """Check that every process catches up once the stores answer."""
        accepted = self._accepted_ids()
        for configuration_tracker in self.configuration_trackers:
            actor = Actor("keeper", configuration_tracker.refresh)
            while not actor.is_done:
                self.calls.carry_out(actor, CallOutcome.ANSWERED)
            assert configuration_tracker.generation == len(accepted)
            assert configuration_tracker.is_confirmed or not accepted


class LastFetchWins(StoredConfigurationTracker):
    """Puts in force what was fetched last, even if it is older."""

    def _put_in_force(self, configuration, manifest):
        self._current = configuration
        self._manifest = manifest


def accept_without_base_check(
    configuration, base_generation, accept_id, table, objects
):
    """Accept without checking the base, so that another operator's change is lost."""
    stored = acceptance.read_configuration_head(table)
    if isinstance(stored, Failure):
        return stored
    generation = stored.head.generation if stored else 0
    return acceptance.accept(configuration, generation, accept_id, table, objects)


def accept_checking_head_row_only(
    configuration, base_generation, accept_id, table, objects
):
    """Return Superseded for an accepted change if the head row names another one."""
    result = acceptance.accept(
        configuration, base_generation, accept_id, table, objects
    )
    if isinstance(result, Accepted):
        stored = acceptance.read_configuration_head(table)
        if not isinstance(stored, Failure) and stored.head.accept_id != accept_id:
            return Superseded(stored.head.generation, stored.head.accept_id, ("?",))
    return result


def accept_head_first(configuration, base_generation, accept_id, table, objects):
    """Write the head row before the objects."""
    split = acceptance.split(configuration)
    head = acceptance.Head(base_generation + 1, split.manifest.digest, accept_id)
    value = acceptance.encode_record(head)
    stored = acceptance.read_configuration_head(table)
    version = 0 if stored is None or isinstance(stored, Failure) else stored.version
    key = generation_key(base_generation + 1)
    writes = [Write(acceptance.HEAD_KEY, value, version), Write(key, value, 0)]
    if not isinstance(table.write(writes), acceptance.Written):
        return Failure("", "", maybe_applied=True)
    for text in (*split.parts, split.manifest):
        objects.put(text.object_name, text.body)
    return Accepted(base_generation + 1)


FAULTY_VERSION_SETTINGS = faulty_version_settings(3_000)
FAULTY_VERSIONS = (
    {"keeper_class": LastFetchWins, "keeper_count": 1, "operator_max": 2},
    {"accept": staticmethod(accept_without_base_check)},
    {"accept": staticmethod(accept_checking_head_row_only)},
    {"accept": staticmethod(accept_head_first)},
)


@pytest.mark.promise(8)
def test_accepted_configuration_stays_in_force():
    run_state_machine_as_test(GenerationsMachine, settings=STATE_MACHINE_SETTINGS)


@pytest.mark.promise(8)
@pytest.mark.parametrize("naive", FAULTY_VERSIONS)
def test_faulty_version_is_detected(naive):
    machine = type("Machine", (GenerationsMachine,), naive)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=FAULTY_VERSION_SETTINGS)
