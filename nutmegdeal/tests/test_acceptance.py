"""Tests of accepting a configuration and of fetching the one in force."""

import attrs

from nutmegdeal.acceptance import Accepted, Superseded, accept
from nutmegdeal.clock import ManualClock
from nutmegdeal.configuration import AdapterPolicy
from nutmegdeal.errors import Failure, Reason
from nutmegdeal.fakes.memory import MemoryObjects, MemoryTable
from nutmegdeal.generations import StoredConfigurationTracker
from nutmegdeal.tests.builders import build_configuration


class CountingObjects(MemoryObjects):
    """Records the object names of put and get calls."""

    def __init__(self):
        super().__init__()
        self.put_names = []
        self.get_names = []

    def put(self, name, body):
        self.put_names.append(name)
        return super().put(name, body)

    def get(self, name):
        self.get_names.append(name)
        return super().get(name)


BASE = build_configuration(generation=0)


def with_adapter(name, configuration=BASE):
    adapter = AdapterPolicy(name, "assist-llm", ("1",), "1")
    return attrs.evolve(
        configuration, adapters={**configuration.adapters, name: adapter}
    )


def with_many_adapters(count):
    names = [f"jaw-{number:05}" for number in range(count)]
    adapters = {name: AdapterPolicy(name, "assist-llm", ("1",), "1") for name in names}
    return build_configuration(generation=0, adapters=adapters)


def test_accepted_configuration_is_fetched():
    table, objects = MemoryTable(), MemoryObjects()
    configuration_tracker = StoredConfigurationTracker(table, objects, ManualClock())
    assert configuration_tracker.refresh().reason is Reason.NOT_CONFIGURED
    assert accept(BASE, 0, "a1", table, objects) == Accepted(1)
    assert configuration_tracker.refresh() == attrs.evolve(BASE, generation=1)
    assert configuration_tracker.is_confirmed


def test_conflicting_acceptance_lists_the_changes():
    table, objects = MemoryTable(), MemoryObjects()
    accept(BASE, 0, "a1", table, objects)
    accept(with_adapter("won"), 1, "a2", table, objects)
    lost = accept(with_adapter("lost"), 1, "a3", table, objects)
    assert isinstance(lost, Superseded)
    assert (lost.generation, lost.accept_id) == (2, "a2")
    assert lost.changes == ("adapter won: added (versions 1; current 1)",)


def test_lost_answer_is_resolved_by_the_accept_id():
    table, objects = MemoryTable(), MemoryObjects()
    table.lose_answers = 1
    assert accept(BASE, 0, "a1", table, objects) == Accepted(1)
    assert accept(BASE, 0, "a1", table, objects) == Accepted(1)


def test_repeated_acceptance_is_recognised_after_later_ones():
    table, objects = MemoryTable(), MemoryObjects()
    accept(BASE, 0, "a1", table, objects)
    accept(with_adapter("next"), 1, "a2", table, objects)
    assert accept(BASE, 0, "a1", table, objects) == Accepted(1)


def test_unknown_base_is_refused():
    failure = accept(BASE, 7, "a1", MemoryTable(), MemoryObjects())
    assert failure.reason is Reason.BAD_REQUEST
    assert not failure.maybe_applied


def test_objects_are_stored_before_the_head():
    table, objects = MemoryTable(), MemoryObjects()
    objects.drop_writes = 1
    failure = accept(BASE, 0, "a1", table, objects)
    assert isinstance(failure, Failure)
    assert not failure.maybe_applied
    assert not table.rows


def test_one_changed_adapter_transfers_one_part():
    table, objects = MemoryTable(), CountingObjects()
    many = with_many_adapters(2_000)
    accept(many, 0, "a1", table, objects)
    configuration_tracker = StoredConfigurationTracker(table, objects, ManualClock())
    configuration_tracker.refresh()
    objects.get_names.clear()
    objects.put_names.clear()
    accept(with_adapter("jaw-00007x", many), 1, "a2", table, objects)
    assert len(objects.put_names) == 2
    objects.get_names.clear()
    assert "jaw-00007x" in configuration_tracker.refresh().adapters
    assert len(objects.get_names) == 2


def test_old_generations_are_deleted(monkeypatch):
    monkeypatch.setattr("nutmegdeal.acceptance.GENERATIONS_KEPT", 2)
    table, objects = MemoryTable(), MemoryObjects()
    for generation in range(5):
        accepted = accept(BASE, generation, f"a{generation}", table, objects)
        assert accepted == Accepted(generation + 1)
    assert len(table.rows) == 3
    failure = accept(BASE, 0, "a0", table, objects)
    assert failure.reason is Reason.NOT_FOUND
    assert failure.maybe_applied


def test_refresh_never_returns_an_older_generation():
    table, objects = MemoryTable(), MemoryObjects()
    accept(BASE, 0, "a1", table, objects)
    older = dict(table.rows)
    accept(with_adapter("next"), 1, "a2", table, objects)
    configuration_tracker = StoredConfigurationTracker(table, objects, ManualClock())
    assert configuration_tracker.refresh().generation == 2
    table.rows = older
    assert configuration_tracker.refresh().generation == 2
    table.rows = {}
    assert configuration_tracker.refresh().generation == 2


def test_peer_with_a_newer_generation_makes_refresh_due():
    clock = ManualClock()
    table, objects = MemoryTable(), MemoryObjects()
    configuration_tracker = StoredConfigurationTracker(table, objects, clock)
    configuration_tracker.record_peer_generation(1)
    assert configuration_tracker.is_refresh_due
    table.down = True
    assert isinstance(configuration_tracker.refresh(), Failure)
    assert not configuration_tracker.is_refresh_due
    table.down = False
    clock.advance(1_000)
    assert configuration_tracker.is_refresh_due
    accept(BASE, 0, "a1", table, objects)
    configuration_tracker.refresh()
    assert not configuration_tracker.is_refresh_due


def test_corrupt_objects_are_rejected():
    table, objects = MemoryTable(), MemoryObjects()
    accept(BASE, 0, "a1", table, objects)
    configuration_tracker = StoredConfigurationTracker(table, objects, ManualClock())
    for name in objects.objects:
        objects.objects[name] = objects.objects[name][:-1] + b"\x00"
    assert isinstance(configuration_tracker.refresh(), Failure)
    assert configuration_tracker.current is None


def test_manifest_from_a_peer_is_fetched_while_the_table_is_down():
    table, objects = MemoryTable(), MemoryObjects()
    accept(BASE, 0, "a1", table, objects)
    peer = StoredConfigurationTracker(table, objects, ManualClock())
    peer.refresh()
    table.down = True
    configuration_tracker = StoredConfigurationTracker(table, objects, ManualClock())
    assert isinstance(configuration_tracker.refresh(), Failure)
    configuration_tracker.record_peer_generation(peer.generation, peer.manifest)
    configuration_tracker.record_peer_generation(9)
    assert configuration_tracker.refresh().generation == 1
    assert not configuration_tracker.is_confirmed
    table.down = False
    assert configuration_tracker.refresh().generation == 1
    assert configuration_tracker.is_confirmed
