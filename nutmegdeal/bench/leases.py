"""Measures lease renewals, and orders that a replaced holder gives after a pause."""

import random

import attrs

from nutmegdeal.bench.simulated_time import LimitedTable, Simulation
from nutmegdeal.clock import ManualClock
from nutmegdeal.configuration import Fencing
from nutmegdeal.fakes.memory import MemoryTable
from nutmegdeal.leases import TableLease
from nutmegdeal.settings import AgentSettings

KEY = "lease/assist-llm/host-1"
POLL_MS = 500
UNLIMITED_WRITES_PER_S = 1e9
PAUSE_MAX_MS = 300_000.0
TIME_BEFORE_PAUSE_MAX_MS = 60_000.0
SUCCESSOR_DELAY_MS = 5_000.0


@attrs.frozen
class LeaseCost:
    """Rate of lease renewals of a fleet with one lease term.

    Parameters
    ----------
    fencing : str
    term_ms : int
    replica_count : int
    renewals_per_s : float
    takeover_ms : float
        How long a successor waits if the holder stops right after a renewal.
    """

    fencing: str
    term_ms: int
    replica_count: int
    renewals_per_s: float
    takeover_ms: float


def measure_lease_cost(term_ms, replica_count, fencing, duration_s=7_200.0):
    """Return the LeaseCost, extrapolated from one lease renewed in simulated time."""
    simulation = Simulation()
    table = LimitedTable(simulation, UNLIMITED_WRITES_PER_S, 0.0, counts_rows=False)
    settings = AgentSettings(lease_term_ms=term_ms)
    clock = simulation.clock
    lease = TableLease(table, KEY, "a", clock, settings, fencing)
    successor = TableLease(table, KEY, "b", clock, settings, fencing)
    waits_ms = []

    def hold():
        lease.acquire()
        while simulation.now_ms < duration_s * 1000:
            simulation.sleep(POLL_MS)
            lease.renew()
        started_ms = simulation.now_ms
        if successor.acquire() is not None:
            simulation.sleep(successor.retry_at_unix_ms - clock.unix_ms())
            successor.acquire()
        waits_ms.append(simulation.now_ms - started_ms)

    simulation.spawn(hold)
    simulation.run()
    renewal_count = table.transaction_count - 2
    return LeaseCost(
        fencing.value,
        term_ms,
        replica_count,
        replica_count * renewal_count / duration_s,
        round(waits_ms[0], 3),
    )


@attrs.frozen
class PauseHarm:
    """Orders given by a lease holder that was replaced while it was paused.

    The engine ignores fencing numbers. The holder is paused once, at a random time and
    for up to `PAUSE_MAX_MS`. `SUCCESSOR_DELAY_MS` after the pause began, a successor
    starts and takes over once the lease has expired.

    Parameters
    ----------
    pause_count : int
    taken_over_count : int
        Pauses during which the successor took the lease over.
    flag_harm_count : int
        Of these, pauses after which the holder gives an order if it only checks a flag
        set at its last renewal.
    lease_harm_count : int
        Of these, pauses after which the holder gives an order although it checks its
        lease before each one: the pause fell between the check and the order.
    """

    pause_count: int
    taken_over_count: int
    flag_harm_count: int
    lease_harm_count: int


def measure_pause_harm(pause_count, seed, order_every_ms=250.0, check_to_order_ms=1.0):
    """Return the PauseHarm of random pauses.

    Parameters
    ----------
    pause_count, seed : int
    order_every_ms : float
        Time between orders of the holder.
    check_to_order_ms : float
        Time from the check of the lease to the order.
    """
    random_source = random.Random(seed)
    taken_over_count = lease_harm_count = 0
    for _ in range(pause_count):
        is_paused_before_order = (
            random_source.random() < check_to_order_ms / order_every_ms
        )
        may_order_before, is_taken_over, may_order_after = _simulate_pause(
            random_source
        )
        taken_over_count += is_taken_over
        is_sent = may_order_before if is_paused_before_order else may_order_after
        lease_harm_count += is_taken_over and is_sent
    return PauseHarm(pause_count, taken_over_count, taken_over_count, lease_harm_count)


def _simulate_pause(random_source):
    """Simulate a pause at a random time, and its effect on the lease.

    Returns
    -------
    tuple of bool
        Whether the holder may order before the pause, whether it was replaced during
        the pause, and whether it may order after the pause.
    """
    clock, table = ManualClock(), MemoryTable()
    settings = AgentSettings()
    holder = TableLease(table, KEY, "a", clock, settings, Fencing.IGNORED)
    successor = TableLease(table, KEY, "b", clock, settings, Fencing.IGNORED)
    holder.acquire()
    for _ in range(int(random_source.uniform(0, TIME_BEFORE_PAUSE_MAX_MS) / POLL_MS)):
        clock.advance(POLL_MS)
        holder.renew()
    may_order_before = holder.may_order()
    end_ms = clock.monotonic_ms() + random_source.uniform(0, PAUSE_MAX_MS)
    clock.advance(SUCCESSOR_DELAY_MS)
    is_taken_over = False
    if clock.monotonic_ms() < end_ms and successor.acquire() is not None:
        clock.advance(successor.retry_at_unix_ms - clock.unix_ms())
    if clock.monotonic_ms() < end_ms:
        is_taken_over = successor.acquire() is None
    clock.advance_to(end_ms)
    return may_order_before, is_taken_over, holder.may_order()
