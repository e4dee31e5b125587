"""What leases cost the table service, and how often a paused holder does harm."""

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
RUN_MAX_MS = 60_000.0
REPLACED_AFTER_MS = 5_000.0


@attrs.frozen
class LeaseCost:
    """Renewals of a fleet at one term.

    Parameters
    ----------
    fencing : str
    term_ms : int
    replica_count : int
    renewals_per_s : float
    takeover_ms : float
        How long a successor waits if the holder dies just after a renewal.
    """

    fencing: str
    term_ms: int
    replica_count: int
    renewals_per_s: float
    takeover_ms: float


def run(term_ms, replica_count, fencing, duration_s=7_200.0):
    """Return the LeaseCost of one lease renewed in simulated time, times a fleet."""
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
        begun_ms = simulation.now_ms
        if successor.acquire() is not None:
            simulation.sleep(successor.retry_at_unix_ms - clock.unix_ms())
            successor.acquire()
        waits_ms.append(simulation.now_ms - begun_ms)

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
    """Orders of a holder that a pause kept from knowing of its successor.

    The engine ignores fences. The holder is paused once, at random, for up to
    `PAUSE_MAX_MS`, and replaced `REPLACED_AFTER_MS` after the pause began.

    Parameters
    ----------
    pause_count : int
    taken_over_count : int
        Pauses during which the successor took over.
    flag_harm_count : int
        Of these, orders given on waking by a holder that goes by a flag set at its
        last renewal.
    lease_harm_count : int
        Orders given on waking by a holder that checks its lease before each order:
        those that were paused between the check and the order.
    """

    pause_count: int
    taken_over_count: int
    flag_harm_count: int
    lease_harm_count: int


def run_pauses(pause_count, seed, order_every_ms=250.0, check_to_order_ms=1.0):
    """Return the PauseHarm of a number of random pauses."""
    source = random.Random(seed)
    taken_over = harm = 0
    for _ in range(pause_count):
        is_between = source.random() < check_to_order_ms / order_every_ms
        checked, is_taken_over, may_order = _pause_once(source)
        taken_over += is_taken_over
        is_sent = checked if is_between else may_order
        harm += is_taken_over and is_sent
    return PauseHarm(pause_count, taken_over, taken_over, harm)


def _pause_once(source):
    """Return whether the holder could order before and after, and if it was replaced.

    Returns
    -------
    tuple of bool
        May order before the pause; taken over meanwhile; may order on waking.
    """
    clock, table = ManualClock(), MemoryTable()
    settings = AgentSettings()
    holder = TableLease(table, KEY, "a", clock, settings, Fencing.IGNORED)
    successor = TableLease(table, KEY, "b", clock, settings, Fencing.IGNORED)
    holder.acquire()
    for _ in range(int(source.uniform(0, RUN_MAX_MS) / POLL_MS)):
        clock.advance(POLL_MS)
        holder.renew()
    checked = holder.may_order()
    end_ms = clock.monotonic_ms() + source.uniform(0, PAUSE_MAX_MS)
    clock.advance(REPLACED_AFTER_MS)
    is_taken_over = False
    if clock.monotonic_ms() < end_ms and successor.acquire() is not None:
        clock.advance(successor.retry_at_unix_ms - clock.unix_ms())
    if clock.monotonic_ms() < end_ms:
        is_taken_over = successor.acquire() is None
    clock.advance_to(end_ms)
    return checked, is_taken_over, holder.may_order()
