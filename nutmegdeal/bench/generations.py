"""Measures the cost of a configuration change: objects, bytes and CPU time."""

import time

import attrs

from nutmegdeal.acceptance import accept
from nutmegdeal.clock import SystemClock
from nutmegdeal.configuration import (
    AdapterPolicy,
    Configuration,
    OperationPolicy,
    ServicePolicy,
    WeightStorePolicy,
)
from nutmegdeal.fakes.memory import MemoryObjects, MemoryTable
from nutmegdeal.generations import StoredConfigurationTracker
from nutmegdeal.messages import BackendKind, Urgency

CHANGE_COUNT = 20


class CountingObjects(MemoryObjects):
    """In-memory object store that counts the objects and bytes read."""

    def __init__(self):
        super().__init__()
        self.loaded_object_count = 0
        self.loaded_bytes = 0

    def get(self, name):
        """Return the bytes under `name`."""
        body = super().get(name)
        self.loaded_object_count += 1
        self.loaded_bytes += len(body)
        return body


@attrs.frozen
class GenerationCost:
    """Costs for one number of adapters; those of a change are means of `CHANGE_COUNT`.

    Parameters
    ----------
    adapter_count : int
    first_objects, first_bytes : int
        Read by a process that has no configuration yet.
    first_cpu_ms : float
    change_objects, change_bytes : float
        Read by a process that has the previous generation.
    change_cpu_ms : float
    accept_cpu_ms : float
        CPU time of the operator's command that accepts the change.
    """

    adapter_count: int
    first_objects: int
    first_bytes: int
    first_cpu_ms: float
    change_objects: float
    change_bytes: float
    change_cpu_ms: float
    accept_cpu_ms: float


def measure_generation_cost(adapter_count):
    """Return the GenerationCost for a number of adapters."""
    table, objects = MemoryTable(), CountingObjects()
    configuration = _build_configuration(adapter_count)
    accept(configuration, 0, "accept-0", table, objects)
    objects.loaded_object_count = objects.loaded_bytes = 0
    configuration_tracker = StoredConfigurationTracker(table, objects, SystemClock())
    first_cpu_ms = _measure_cpu_ms(configuration_tracker.refresh)
    first_objects, first_bytes = objects.loaded_object_count, objects.loaded_bytes
    objects.loaded_object_count = objects.loaded_bytes = 0
    accept_cpu_ms = change_cpu_ms = 0.0
    change_objects = change_bytes = 0
    for generation in range(1, CHANGE_COUNT + 1):
        configuration = _change_adapter(configuration, generation)
        accept_cpu_ms += _measure_cpu_ms(
            accept, configuration, generation, f"accept-{generation}", table, objects
        )
        objects.loaded_object_count = objects.loaded_bytes = 0
        change_cpu_ms += _measure_cpu_ms(configuration_tracker.refresh)
        change_objects += objects.loaded_object_count
        change_bytes += objects.loaded_bytes
    return GenerationCost(
        adapter_count,
        first_objects,
        first_bytes,
        first_cpu_ms,
        change_objects / CHANGE_COUNT,
        change_bytes / CHANGE_COUNT,
        change_cpu_ms / CHANGE_COUNT,
        accept_cpu_ms / CHANGE_COUNT,
    )


def _measure_cpu_ms(function, *arguments):
    started_s = time.process_time()
    function(*arguments)
    return (time.process_time() - started_s) * 1000


def _build_configuration(adapter_count):
    operation = OperationPolicy("c", "POST", "/v1/completions", True, Urgency.URGENT)
    service = ServicePolicy(
        "assist-llm",
        BackendKind.MODEL_ENGINE,
        (operation,),
        replica_count=6,
        concurrency_max=16,
        base_model="m",
        slot_count=8,
    )
    names = [f"quote-{number:05}" for number in range(adapter_count)]
    adapters = {name: _build_adapter(name, 1) for name in names}
    return Configuration(
        0,
        "t",
        "r",
        ("z",),
        0.5,
        WeightStorePolicy(4.0),
        {service.name: service},
        adapters,
    )


def _build_adapter(name, version):
    versions = (str(version), str(version + 1))
    return AdapterPolicy(name, "assist-llm", versions, versions[-1])


def _change_adapter(configuration, number):
    names = list(configuration.adapters)
    # The stride spreads successive changes over the list of adapters.
    name = names[number * 977 % len(names)]
    changed = {name: _build_adapter(name, number + 1)}
    return attrs.evolve(configuration, adapters={**configuration.adapters, **changed})
