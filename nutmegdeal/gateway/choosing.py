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
ZONE_BIAS_COUNT = 1.0
# A server that waits for a pause after failed connects to end.
BLOCKED_COUNT = 1_000.0
# Prompt tokens that wait at an engine weigh as one request more for each so many.
TOKENS_PER_REQUEST = 400.0
# Fair shares of an engine's load that an adapter draws for each copy beyond the first:
# engines have room to spare, so one copy carries about a whole share.
SHARES_PER_COPY = 1.1
# Demand for other adapters that is assumed besides what was seen, so that the first
# requests after a start do not look like a popular adapter.
OTHERS_PER_S = 5.0
# Time over which demand is averaged; popularity moves on within seconds.
DEMAND_DECAY_MS = 6_000.0
# An engine is crowded when it has so many more requests than the least loaded one.
CROWDED_FACTOR = 2.0
CROWDED_COUNT = 10.0
# Share of an engine's load that an adapter must draw for a copy because of crowding:
# a load costs about a quarter of what a request is worth.
CROWDED_SHARE = 0.3
# A request beyond an engine's slots waits for another to end, some 60 ms for each that
# waits before it (1.8 s by 32 slots); so many waits are as long as an adapter's load.
FULL_COUNT = 4.0
# Part of an engine's slots up to which it relieves others; the rest is for its own.
ROOM_SHARE = 0.75
ALL_ADAPTERS = ""
# Engines that are compared for one request: two keep most of the gain of comparing all
# and avoid bursts at the one that looks best to everybody.
COMPARED_COUNT = 2


@attrs.frozen
class UseNow:
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
    instead: object = None


def cost(member, zone, now_ms):
    """Return how unattractive a member is to one more request (float)."""
    load = member.load(now_ms) + 1.0 + member.waiting_tokens / TOKENS_PER_REQUEST
    if member.backend.zone != zone:
        load += ZONE_BIAS_COUNT
    if member.history.is_blocked(now_ms) or not member.is_reachable:
        load += BLOCKED_COUNT
    return load * (1.0 + FAILURE_WEIGHT * member.history.failure_rate(now_ms))


def choose_plain(members, zone, now_ms, random):
    """Return the Member with the least cost, or None if there is none."""
    if not members:
        return None
    return min(members, key=lambda item: (cost(item, zone, now_ms), random.random()))


class AdapterChooser:
    """Keeps each adapter on few engines and follows demand.

    Parameters
    ----------
    zone : str
        Of this gateway.
    source : random.Random, optional
    """

    def __init__(self, zone, source=None):
        self._zone = zone
        self._random = source or random.Random()
        self._rates = UseRates(DEMAND_DECAY_MS)

    def note_request(self, adapter, now_ms):
        """Count a request for an adapter."""
        self._rates.record(adapter, now_ms)
        self._rates.record(ALL_ADAPTERS, now_ms)

    def copies(self, adapter, engine_count, now_ms):
        """Return on how many engines an adapter should be."""
        share = self._engine_share(adapter, engine_count, now_ms)
        return _copies(share, engine_count)

    def _engine_share(self, adapter, engine_count, now_ms):
        """Return an adapter's demand in fair shares of one engine's load."""
        total = self._rates.rate_per_s(ALL_ADAPTERS, now_ms) + OTHERS_PER_S
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
        costs = {item.backend_id: cost(item, self._zone, now_ms) for item in members}
        if not holders:
            return LoadFirst(self._pick_home(adapter, version, members, costs))
        best = min(holders, key=lambda item: costs[item.backend_id])
        chosen = self._pick_holder(holders, costs)
        if _is_full(chosen, now_ms):
            chosen = best
        others = [item for item in members if item not in holders]
        if not others:
            return UseNow(chosen)
        roomy = _find_roomy(others, costs, now_ms) if _is_full(chosen, now_ms) else []
        if roomy:
            return LoadFirst(self._pick_home(adapter, version, roomy, costs), chosen)
        least = min(costs[item.backend_id] for item in others)
        is_crowded = costs[best.backend_id] > CROWDED_FACTOR * least + CROWDED_COUNT
        share = self._engine_share(adapter, len(members), now_ms)
        is_crowded = is_crowded and share >= CROWDED_SHARE
        if len(holders) >= _copies(share, len(members)) and not is_crowded:
            return UseNow(chosen)
        return UseNow(chosen, self._pick_home(adapter, version, others, costs))

    def _pick_holder(self, holders, costs):
        """Return the less loaded of two engines drawn at random."""
        sound = _find_sound(holders, costs)
        drawn = self._random.sample(sound, min(COMPARED_COUNT, len(sound)))
        return min(drawn, key=lambda item: costs[item.backend_id])

    def _pick_home(self, adapter, version, members, costs):
        """Return the less loaded of the two first homes that can load it."""
        target = f"{adapter}@{version}"
        on_their_way = [item for item in members if target in item.loading]
        if on_their_way:
            return min(on_their_way, key=lambda item: costs[item.backend_id])
        linked = [item for item in members if item.is_linked] or members
        # An engine that holds an older version replaces it only after its runs.
        free = [item for item in linked if adapter not in item.resident] or linked
        sound = _find_sound(free, costs)
        ranked = sorted(
            sound, key=lambda item: rank_score(adapter, item.backend_id), reverse=True
        )
        first = ranked[0]
        for second in ranked[1:2]:
            limit = CROWDED_FACTOR * costs[second.backend_id] + CROWDED_COUNT
            if costs[first.backend_id] > limit:
                return second
        return first


def _is_full(member, now_ms):
    """Return whether a request would wait at an engine as long as for a load."""
    return member.load(now_ms) >= member.backend.slots + FULL_COUNT


def _find_roomy(members, costs, now_ms):
    """Return the engines that can load an adapter and run a request at once."""
    return [
        item
        for item in _find_sound(members, costs)
        if item.is_linked
        and item.has_model
        and item.queued_count < LOADS_AT_ONCE
        and item.load(now_ms) < ROOM_SHARE * item.backend.slots
    ]


def _find_sound(members, costs):
    """Return the members that can be reached, or all if there is none."""
    sound = [item for item in members if costs[item.backend_id] < BLOCKED_COUNT]
    return sound or members


def _copies(engine_share, engine_count):
    return min(1 + math.floor(engine_share / SHARES_PER_COPY), engine_count)
