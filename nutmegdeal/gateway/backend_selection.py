"""Selection of a backend server for a request.

Plain services receive many short requests, have few slots and also serve other
callers. The server with the lowest cost is selected.

Model engines serve thousands of adapters, a few of them very popular, and each engine
holds about twenty. Many gateways select engines from load reports that are about
100 ms old. If all of them sent to the engine that appears least loaded, it would
receive a burst until they saw its new load. Each request therefore compares two
engines sampled at random (power of two choices).

If servers of a service state how long work takes there (`ServerSpeed`), its servers are
compared by expected time, in usual times of a request. Plain servers are then sampled,
too, as often as their expected time is short.
"""

import math
import random

import attrs

from nutmegdeal.balancing.load_estimate import settled_load
from nutmegdeal.entry.rendezvous import rank_score, weighted_score
from nutmegdeal.site_configuration import CONCURRENT_LOADS_MAX, split_adapter
from nutmegdeal.usage_rates import UsageRates

# Weight of the failure rate in the cost. A server that fails half of its requests costs
# four times as much: it still gets a few requests, which show when it has recovered.
FAILURE_WEIGHT = 6.0
# Cost of sending to another availability zone, in requests: crossing zones adds 0.5 ms
# and traffic is charged by the byte.
CROSS_ZONE_PENALTY_REQUESTS = 1.0
# Cost, in requests, of a server that is unreachable or blocked after failed connects.
UNREACHABLE_PENALTY_REQUESTS = 1_000.0
# Most that the load of a server whose speed is known costs, so that it does not look
# unreachable.
REACHABLE_COST_MAX = UNREACHABLE_PENALTY_REQUESTS / 2
# Cost, in requests, of each request that waits at a server whose speed is known: it
# waits for a slot there, while another server may have one, however slow that is.
QUEUED_PENALTY_REQUESTS = 4.0
# Power of the work time by which engines of known speed get fewer homes. Pauses between
# the events of a stream grow with the work time, and callers need each of them below a
# target, which a slow engine misses for many streams while it has slots to spare.
HOME_SPEED_POWER = 2.0
# Number of waiting prompt tokens that cost as much as one request.
TOKENS_PER_REQUEST = 400.0
# An adapter gets one more copy for each multiple of this share of one engine's average
# load. Engines have spare capacity, so one copy can serve about a whole share.
LOAD_SHARE_PER_COPY = 1.1
# Demand for other adapters that is added to the observed one, so that the first
# requests after a start do not make their adapter look popular.
BASELINE_DEMAND_PER_S = 5.0
# Decay time of the demand average; popularity changes within seconds.
DEMAND_DECAY_MS = 6_000.0
# An engine is overloaded if its cost exceeds the lowest cost times the factor plus the
# margin.
OVERLOAD_FACTOR = 2.0
OVERLOAD_MARGIN_REQUESTS = 10.0
# Share of one engine's average load that an adapter must cause to be copied away from
# an overloaded engine: loading it costs about a quarter of the value of a request.
OVERLOAD_SHARE_MIN = 0.3
# Queue length, in requests, at which an engine counts as full. A queued request waits
# about 60 ms for each request ahead of it (1.8 s per request / 32 slots), so at this
# length it waits as long as an adapter takes to load.
FULL_COUNT = 4.0
# Share of its slots up to which an engine takes over requests from full engines; the
# rest is reserved for the adapters that it holds.
SPARE_SLOTS_SHARE = 0.75
# Key under which the demand for all adapters together is counted.
ALL_ADAPTERS = ""
# Engines, in the order of rendezvous hashes, of which one loads an adapter.
LOAD_CANDIDATES_MAX = 2
# Engines compared for one request. Two give most of the benefit of comparing all, and
# avoid that all gateways send to the same least loaded engine.
SAMPLE_SIZE = 2


@attrs.frozen
class SendNow:
    """The request can be sent to a member at once.

    Parameters
    ----------
    member : Member
    also_load : Member or None
        Engine that should load another copy of the adapter.
    """

    member: object
    also_load: object = None


@attrs.frozen
class LoadFirst:
    """The adapter must be loaded at a member before the request can be sent.

    Parameters
    ----------
    member : Member
    fallback : Member or None
        A full engine that holds the adapter, used if the request cannot wait for the
        load.
    """

    member: object
    fallback: object = None


def selection_cost(member, zone, now_ms):
    """Return the cost of sending one more request to a member, in requests (float).

    Requests of a member whose speed is known count by the time that they take there,
    and more if they wait for a slot.
    """
    expected_load = member.expected_load(now_ms)
    load = expected_load + 1.0 + member.waiting_tokens / TOKENS_PER_REQUEST
    if member.speed.service.is_stated:
        load *= member.speed.factor(now_ms)
        queued_count = expected_load + 1.0 - member.backend.slots
        if queued_count > 0:
            load += QUEUED_PENALTY_REQUESTS * queued_count
        load = min(load, REACHABLE_COST_MAX)
    return _add_penalties(load, member, zone, now_ms)


def _expected_time_cost(member, zone, now_ms):
    """Return the cost of a member that runs short requests, in usual requests."""
    load = (
        settled_load(member, now_ms) + 1.0 + member.waiting_tokens / TOKENS_PER_REQUEST
    )
    cost = min(load * member.speed.factor(now_ms), REACHABLE_COST_MAX)
    return _add_penalties(cost, member, zone, now_ms)


def _add_penalties(load, member, zone, now_ms):
    if member.backend.zone != zone:
        load += CROSS_ZONE_PENALTY_REQUESTS
    if member.history.is_blocked(now_ms) or not member.is_reachable:
        load += UNREACHABLE_PENALTY_REQUESTS
    return load * (1.0 + FAILURE_WEIGHT * member.history.failure_rate(now_ms))


def has_free_slot(member, now_ms):
    """Return whether a member that responds can run one more request at once."""
    if member.history.is_blocked(now_ms) or not member.is_reachable:
        return False
    return member.expected_load(now_ms) < member.backend.slots


def select_plain(members, zone, now_ms, random_state):
    """Return the Member with the lowest cost, None if `members` is empty.

    Parameters
    ----------
    members : list of Member
    zone : str
        Availability zone of this gateway.
    now_ms : float
    random_state : random.Random
        Breaks ties, and samples servers whose speed is known.
    """
    if not members:
        return None
    if members[0].speed.service.is_stated:
        return _sample_plain(members, zone, now_ms, random_state)
    return min(
        members,
        key=lambda item: (selection_cost(item, zone, now_ms), random_state.random()),
    )


def _sample_plain(members, zone, now_ms, random_state):
    """Return the cheaper of two members sampled by their expected time.

    The least loaded one would get a burst from all gateways that have the same report.
    """
    costs = [_expected_time_cost(item, zone, now_ms) for item in members]
    weights = [1.0 / cost for cost in costs]
    sampled = random_state.choices(range(len(members)), weights, k=SAMPLE_SIZE)
    return members[min(sampled, key=costs.__getitem__)]


class EngineSelector:
    """Selects engines, keeping each adapter on as few engines as its demand allows.

    Parameters
    ----------
    zone : str
        Availability zone of this gateway.
    random_state : random.Random, optional
    """

    def __init__(self, zone, random_state=None):
        self._zone = zone
        self._random = random_state or random.Random()
        self._rates = UsageRates(DEMAND_DECAY_MS)

    def record_request(self, adapter, now_ms):
        """Count a request for an adapter."""
        self._rates.record(adapter, now_ms)
        self._rates.record(ALL_ADAPTERS, now_ms)

    def copy_count(self, adapter, engine_count, now_ms):
        """Return on how many engines an adapter should be loaded (int)."""
        share = self._engine_share(adapter, engine_count, now_ms)
        return _copy_count(share, engine_count)

    def _engine_share(self, adapter, engine_count, now_ms):
        """Return an adapter's demand as a multiple of one engine's average demand."""
        total = self._rates.rate_per_s(ALL_ADAPTERS, now_ms) + BASELINE_DEMAND_PER_S
        return engine_count * self._rates.rate_per_s(adapter, now_ms) / total

    def select(self, adapter, version, members, now_ms, patience_ms=0.0):
        """Select one of the usable engines.

        Parameters
        ----------
        adapter : str
        version : int or None
            Oldest version on which the request may run, None for any.
        members : list of Member
        now_ms : float
        patience_ms : float
            How long the adapter may wait for a place in an engine.

        Returns
        -------
        SendNow, LoadFirst or None
            None if `members` is empty.
        """
        if not members:
            return None
        holders = [item for item in members if item.holds(adapter, version)]
        costs = {
            item.backend_id: selection_cost(item, self._zone, now_ms)
            for item in members
        }
        if not holders:
            target = self._pick_load_target(
                adapter, version, members, costs, patience_ms
            )
            return LoadFirst(target)
        best = min(holders, key=lambda item: costs[item.backend_id])
        chosen = self._sample_holder(holders, costs)
        if _is_full(chosen, now_ms):
            chosen = best
        # An engine with a limit cannot relieve the holders.
        others = _find_unlimited(item for item in members if item not in holders)
        if not others:
            return SendNow(chosen)
        spare = (
            _find_with_spare_slots(others, costs, now_ms)
            if _is_full(chosen, now_ms)
            else []
        )
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
        homes = _find_unlimited(holders)
        if len(homes) >= _copy_count(share, len(members)) and not is_overloaded:
            return SendNow(chosen)
        return SendNow(chosen, self._pick_load_target(adapter, version, others, costs))

    def _sample_holder(self, holders, costs):
        """Return the cheaper of two engines sampled from the holders of the adapter."""
        reachable = _find_reachable(holders, costs)
        sampled = self._random.sample(reachable, min(SAMPLE_SIZE, len(reachable)))
        return min(sampled, key=lambda item: costs[item.backend_id])

    def _pick_load_target(self, adapter, version, members, costs, patience_ms=0.0):
        """Return the Member that should load an adapter.

        This is an engine that already loads it, otherwise the first one in the order of
        rendezvous hashes for the adapter that is not overloaded compared with the next
        one. If the adapter would wait there for a place for longer than `patience_ms`,
        the next one that has a place is taken instead. An engine reloads what it held
        before ten times as fast, so the first one is worth a short wait.
        """
        already_loading = [
            item for item in members if _is_loading(item, adapter, version)
        ]
        if already_loading:
            return min(already_loading, key=lambda item: costs[item.backend_id])
        members = _find_unlimited(members) or members
        linked = [item for item in members if item.is_linked] or members
        # An engine that holds an older version replaces it only once the requests that
        # run on it have ended.
        free = [item for item in linked if adapter not in item.resident] or linked
        reachable = _find_reachable(free, costs)
        ranked = sorted(
            reachable,
            key=lambda item: _home_score(adapter, item),
            reverse=True,
        )
        candidates = ranked[:LOAD_CANDIDATES_MAX]
        first = candidates[0]
        for second in candidates[1:2]:
            limit = (
                OVERLOAD_FACTOR * costs[second.backend_id] + OVERLOAD_MARGIN_REQUESTS
            )
            if costs[first.backend_id] > limit:
                first = second
        if _place_wait_ms(first) <= patience_ms:
            return first
        spare = [item for item in candidates if item.has_spare_place]
        if spare:
            return spare[0]
        return min(candidates, key=_place_wait_ms)


def _home_score(adapter, member):
    """Return by how much a member is preferred as the home of an adapter."""
    if not member.speed.service.is_stated:
        return rank_score(adapter, member.backend_id)
    weight = member.speed.home_factor**-HOME_SPEED_POWER
    return weighted_score(adapter, member.backend_id, weight)


def _is_loading(member, adapter, version):
    """Return whether a member loads a version of an adapter or a newer one.

    `version` None matches any version.
    """
    loading = map(split_adapter, member.loading)
    return any(
        name == adapter and (version is None or loaded >= version)
        for name, loaded in loading
    )


def _place_wait_ms(member):
    """Return how long an adapter waits for a place in an engine (float)."""
    if not member.has_full_places:
        return 0.0
    return member.places.in_time_wait_ms(is_queued=False)


def _is_full(member, now_ms):
    """Return whether an engine's queue delays a request as much as an adapter load."""
    full_count = FULL_COUNT
    if member.speed.service.is_stated:
        full_count /= member.speed.factor(now_ms)
    return member.expected_load(now_ms) >= member.backend.slots + full_count


def _find_with_spare_slots(members, costs, now_ms):
    """Return the engines that can load an adapter now and have slots to spare."""
    return [
        item
        for item in _find_reachable(members, costs)
        if item.is_linked
        and item.has_model
        and item.queued_count < CONCURRENT_LOADS_MAX
        and item.expected_load(now_ms) < SPARE_SLOTS_SHARE * item.backend.slots
    ]


def _find_unlimited(members):
    """Return the members that do not limit the requests that they take."""
    return [item for item in members if not item.availability.is_limited]


def _find_reachable(members, costs):
    """Return the members that can be reached, all members if none can."""
    reachable = [
        item
        for item in members
        if costs[item.backend_id] < UNREACHABLE_PENALTY_REQUESTS
    ]
    return reachable or members


def _copy_count(engine_share, engine_count):
    """Return the number of copies for a demand given in engine shares (int)."""
    return min(1 + math.floor(engine_share / LOAD_SHARE_PER_COPY), engine_count)
