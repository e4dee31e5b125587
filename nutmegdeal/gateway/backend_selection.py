"""Choice of a backend server for a request.

Plain services: answers the load of many short requests on few slots, which other
callers use as well.

Model engines: answers the load of thousands of adapters, a few of them very popular,
over engines that hold some twenty each. Many gateways choose, by numbers that are some
100 ms old: an engine that all of them took for the least loaded would get a burst until
they hear of it, so each request compares two engines drawn at random.
"""

import math
import random

import attrs

from nutmegdeal.demand import UseRates
from nutmegdeal.entry.rendezvous import rank_score
from nutmegdeal.site import LOADS_AT_ONCE

# Weight of the failure rate: a server that fails half of its requests looks four times
# as loaded, so that it gets a trickle which shows when it has recovered.
FAILURE_WEIGHT = 6.0
# Requests that another availability zone must be shorter by; a hop costs 0.5 ms and is
# charged by the byte.
CROSS_ZONE_PENALTY_REQUESTS = 1.0
# A server that waits for a pause after failed connects to end.
UNREACHABLE_PENALTY_REQUESTS = 1_000.0
# Prompt tokens that wait at an engine weigh as one request more for each so many.
TOKENS_PER_REQUEST = 400.0
# Fair shares of an engine's load that an adapter draws for each copy beyond the first:
# engines have room to spare, so one copy carries about a whole share.
LOAD_SHARE_PER_COPY = 1.1
# Demand for other adapters that is assumed besides what was seen, so that the first
# requests after a start do not look like a popular adapter.
BASELINE_DEMAND_PER_S = 5.0
# Time over which demand is averaged; popularity moves on within seconds.
DEMAND_DECAY_MS = 6_000.0
# An engine is crowded when it has so many more requests than the least loaded one.
OVERLOAD_FACTOR = 2.0
OVERLOAD_MARGIN_REQUESTS = 10.0
# Share of an engine's load that an adapter must draw for a copy because of crowding:
# a load costs about a quarter of what a request is worth.
OVERLOAD_SHARE_MIN = 0.3
# A request beyond an engine's slots waits for another to end, some 60 ms for each that
# waits before it (1.8 s by 32 slots); so many waits are as long as an adapter's load.
FULL_COUNT = 4.0
# Part of an engine's slots up to which it relieves others; the rest is for its own.
SPARE_SLOTS_SHARE = 0.75
ALL_ADAPTERS = ""
# Engines that are compared for one request: two keep most of the gain of comparing all
# and avoid bursts at the one that looks best to everybody.
SAMPLE_SIZE = 2


@attrs.frozen
class SendNow:
    """The request can be sent to a member at once.

    Parameters
    ----------
    member : Member
    also_load : Member or None
        Where another copy of the adapter should be loaded.
    """

    member: object
    also_load: object = None


@attrs.frozen
class LoadFirst:
    """The adapter has to be loaded at a member before the request can be sent.

    Parameters
    ----------
    member : Member
    instead : Member or None
        A full engine that holds the adapter, for a request that cannot wait.
    """

    member: object
    fallback: object = None


def selection_cost(member, zone, now_ms):
    """Return how unattractive a member is to one more request (float)."""
    load = (
        member.expected_load(now_ms) + 1.0 + member.waiting_tokens / TOKENS_PER_REQUEST
    )
    if member.backend.zone != zone:
        load += CROSS_ZONE_PENALTY_REQUESTS
    if member.history.is_blocked(now_ms) or not member.is_reachable:
        load += UNREACHABLE_PENALTY_REQUESTS
    return load * (1.0 + FAILURE_WEIGHT * member.history.failure_rate(now_ms))


def choose_plain(members, zone, now_ms, random_state):
    """Return the Member with the least cost, or None if there is none."""
    if not members:
        return None
    return min(
        members,
        key=lambda item: (selection_cost(item, zone, now_ms), random_state.random()),
    )


class AdapterChooser:
    """Keeps each adapter on few engines and follows demand.

    Parameters
    ----------
    zone : str
        Of this gateway.
    random_state : random.Random, optional
    """

    def __init__(self, zone, random_state=None):
        self._zone = zone
        self._random = random_state or random.Random()
        self._rates = UseRates(DEMAND_DECAY_MS)

    def record_request(self, adapter, now_ms):
        """Count a request for an adapter."""
        self._rates.record(adapter, now_ms)
        self._rates.record(ALL_ADAPTERS, now_ms)

    def copy_count(self, adapter, engine_count, now_ms):
        """Return on how many engines an adapter should be."""
        share = self._engine_share(adapter, engine_count, now_ms)
        return _copy_count(share, engine_count)

    def _engine_share(self, adapter, engine_count, now_ms):
        """Return an adapter's demand in fair shares of one engine's load."""
        total = self._rates.rate_per_s(ALL_ADAPTERS, now_ms) + BASELINE_DEMAND_PER_S
        return engine_count * self._rates.rate_per_s(adapter, now_ms) / total

    def choose(self, adapter, version, members, now_ms):
        """Choose among the usable engines.

        Parameters
        ----------
        adapter : str
        version : int or None
            Version that the request must run on, None for any.
        members : list of Member
        now_ms : float

        Returns
        -------
        UseNow, LoadFirst or None
            None if there is no engine.
        """
        if not members:
            return None
        holders = [item for item in members if item.holds(adapter, version)]
        costs = {
            item.backend_id: selection_cost(item, self._zone, now_ms)
            for item in members
        }
        if not holders:
            return LoadFirst(self._pick_load_target(adapter, version, members, costs))
        best = min(holders, key=lambda item: costs[item.backend_id])
        chosen = self._sample_holder(holders, costs)
        if _is_full(chosen, now_ms):
            chosen = best
        others = [item for item in members if item not in holders]
        if not others:
            return SendNow(chosen)
        spare = _find_spare(others, costs, now_ms) if _is_full(chosen, now_ms) else []
        if spare:
            return LoadFirst(
                self._pick_load_target(adapter, version, spare, costs), chosen
            )
        lowest_cost = min(costs[item.backend_id] for item in others)
        is_overloaded = (
            costs[best.backend_id]
            > OVERLOAD_FACTOR * lowest_cost + OVERLOAD_MARGIN_REQUESTS
        )
        share = self._engine_share(adapter, len(members), now_ms)
        is_overloaded = is_overloaded and share >= OVERLOAD_SHARE_MIN
        if len(holders) >= _copy_count(share, len(members)) and not is_overloaded:
            return SendNow(chosen)
        return SendNow(chosen, self._pick_load_target(adapter, version, others, costs))

    def _sample_holder(self, holders, costs):
        """Return the less loaded of two engines drawn at random."""
        reachable = _find_reachable(holders, costs)
        sampled = self._random.sample(reachable, min(SAMPLE_SIZE, len(reachable)))
        return min(sampled, key=lambda item: costs[item.backend_id])

    def _pick_load_target(self, adapter, version, members, costs):
        """Return the less loaded of the two first homes that can load it."""
        target = f"{adapter}@{version}"
        already_loading = [item for item in members if target in item.loading]
        if already_loading:
            return min(already_loading, key=lambda item: costs[item.backend_id])
        linked = [item for item in members if item.is_linked] or members
        # An engine that holds an older version replaces it only after its runs.
        free = [item for item in linked if adapter not in item.resident] or linked
        reachable = _find_reachable(free, costs)
        ranked = sorted(
            reachable,
            key=lambda item: rank_score(adapter, item.backend_id),
            reverse=True,
        )
        first = ranked[0]
        for second in ranked[1:2]:
            limit = (
                OVERLOAD_FACTOR * costs[second.backend_id] + OVERLOAD_MARGIN_REQUESTS
            )
            if costs[first.backend_id] > limit:
                return second
        return first


def _is_full(member, now_ms):
    """Return whether a request would wait at an engine as long as for a load."""
    return member.expected_load(now_ms) >= member.backend.slots + FULL_COUNT


def _find_spare(members, costs, now_ms):
    """Return the engines that can load an adapter and run a request at once."""
    return [
        item
        for item in _find_reachable(members, costs)
        if item.is_linked
        and item.has_model
        and item.queued_count < LOADS_AT_ONCE
        and item.expected_load(now_ms) < SPARE_SLOTS_SHARE * item.backend.slots
    ]


def _find_reachable(members, costs):
    """Return the members that can be reached, or all if there is none."""
    reachable = [
        item
        for item in members
        if costs[item.backend_id] < UNREACHABLE_PENALTY_REQUESTS
    ]
    return reachable or members


def _copy_count(engine_share, engine_count):
    return min(1 + math.floor(engine_share / LOAD_SHARE_PER_COPY), engine_count)
