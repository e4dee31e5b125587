"""Tests of rendezvous ranking, replication degree and the choice of a replica."""

import random

from hypothesis import given
from hypothesis import strategies as st

from nutmegdeal.entry.ranking_cache import RANKED_MEMBERS_MAX, RankingCache
from nutmegdeal.entry.rendezvous import (
    RendezvousChooser,
    RoutingWeights,
    rank_agents,
)
from nutmegdeal.entry.replication_degree import (
    HINT_HALF_LIFE_MS,
    ReplicationDegreeTracker,
)
from nutmegdeal.entry.routing import ReplicaView, RouteRequest
from nutmegdeal.errors import Failure, Reason
from nutmegdeal.messages import Urgency

ADAPTER = "quote-0001@2"
AGENTS = [f"engine-{number}" for number in range(6)]
RANKED_AGENTS = rank_agents(ADAPTER, AGENTS)


def build_request(**changes):
    values = {"adapter": ADAPTER, "urgency": Urgency.URGENT, "zone": "z1"}
    return RouteRequest(**{**values, **changes})


def build_views(**changes_by_rank):
    """Return views of all agents by rank; h0, h1, ... set fields of a rank's view."""
    views = []
    for rank, agent_id in enumerate(RANKED_AGENTS):
        changes = changes_by_rank.get(f"h{rank}", {})
        views.append(ReplicaView(**{"agent_id": agent_id, "zone": "z1", **changes}))
    return views


def choose(request, views, seed=1, **weights):
    chooser = RendezvousChooser(random.Random(seed), RoutingWeights(**weights))
    chosen = chooser.choose(request, views, 0.0)
    return (
        chosen if isinstance(chosen, Failure) else RANKED_AGENTS.index(chosen.agent_id)
    )


def test_adapter_without_a_copy_goes_to_the_first_ranked_replica():
    views = build_views()
    assert {choose(build_request(), views, seed) for seed in range(20)} == {0}


def test_short_queue_costs_less_than_a_second_copy():
    views = build_views(h0={"is_resident": True, "reported_wait_ms": 200.0})
    assert choose(build_request(), views) == 0


def test_long_queue_costs_more_than_a_second_copy():
    views = build_views(h0={"is_resident": True, "reported_wait_ms": 2_000.0})
    assert choose(build_request(), views) == 1


def test_stall_weight_shifts_when_a_second_copy_is_loaded():
    views = build_views(h0={"is_resident": True, "reported_wait_ms": 500.0})
    assert choose(build_request(), views, stall_weight=0.1) == 1
    assert choose(build_request(), views, stall_weight=0.9) == 0


def test_second_copy_costs_less_within_the_degree():
    views = build_views(h0={"is_resident": True, "reported_wait_ms": 400.0})
    assert choose(build_request(degree=1), views) == 0
    assert choose(build_request(degree=2), views) == 1


def test_slow_weight_store_keeps_the_request_in_the_queue():
    slow = {"load_wait_ms": 5_000.0}
    busy = {"is_resident": True, "reported_wait_ms": 2_000.0}
    views = build_views(h0=busy, h1=slow, h2=slow)
    assert choose(build_request(), views) == 0


def test_resident_copy_elsewhere_saves_the_load():
    assert choose(build_request(), build_views(h4={"is_resident": True})) == 4


def test_own_requests_correct_an_outdated_report():
    sent = {"is_resident": True, "service_ms": 50.0, "sent_since_report_count": 9}
    views = build_views(h0=sent, h1={"is_resident": True})
    assert choose(build_request(degree=2), views) == 1


def test_own_zone_is_preferred_when_waits_are_nearly_equal():
    other_zone = {"is_resident": True, "zone": "z2", "reported_wait_ms": 1.0}
    own_zone = {"is_resident": True, "zone": "z1", "reported_wait_ms": 5.0}
    assert choose(build_request(degree=2), build_views(h0=other_zone, h1=own_zone)) == 1
    busy_own_zone = {**own_zone, "reported_wait_ms": 500.0}
    assert (
        choose(build_request(degree=2), build_views(h0=other_zone, h1=busy_own_zone))
        == 0
    )


def test_prefix_breaks_ties_consistently():
    resident = {"is_resident": True}
    views = build_views(h0=resident, h1=resident)
    chosen = {
        prefix: {
            choose(build_request(degree=2, prefix_digest=prefix), views, seed)
            for seed in range(5)
        }
        for prefix in map(str, range(20))
    }
    assert all(len(chosen_ranks) == 1 for chosen_ranks in chosen.values())
    assert {rank for chosen_ranks in chosen.values() for rank in chosen_ranks} == {0, 1}


def test_excluded_replicas_are_never_chosen():
    excluded = frozenset(RANKED_AGENTS[:2])
    assert choose(build_request(excluded=excluded), build_views()) == 2
    failure = choose(build_request(excluded=frozenset(RANKED_AGENTS)), build_views())
    assert failure.reason is Reason.NO_REPLICA


def test_plain_service_chooses_the_shorter_of_two_queues():
    views = build_views(
        **{f"h{rank}": {"reported_wait_ms": 100.0 * rank} for rank in range(6)}
    )
    request = build_request(adapter="")
    chosen = [choose(request, views, seed) for seed in range(200)]
    assert 5 not in chosen
    assert chosen.count(0) > chosen.count(4)


def test_degree_follows_demand_and_decays_back():
    tracker = ReplicationDegreeTracker(requests_per_s_per_replica=5.0)
    for number in range(2_000):
        tracker.count_request(ADAPTER, number * 50.0)
    assert tracker.degree(ADAPTER, 100_000.0) == 4
    assert tracker.degree(ADAPTER, 200_000.0) == 1
    assert tracker.degree("other@1", 100_000.0) == 1


def test_degree_follows_an_agents_hint_until_it_decays():
    tracker = ReplicationDegreeTracker()
    tracker.record_hint(ADAPTER, 4, 0.0)
    tracker.record_hint(ADAPTER, 0, 1.0)
    assert tracker.degree(ADAPTER, 0.0) == 4
    assert tracker.degree(ADAPTER, HINT_HALF_LIFE_MS) == 2
    assert tracker.degree(ADAPTER, 10 * HINT_HALF_LIFE_MS) == 1


MEMBER_SETS = st.lists(
    st.sets(st.integers(0, 120).map(lambda number: f"host-{number}"), max_size=90),
    min_size=1,
    max_size=6,
)


@given(MEMBER_SETS, st.sets(st.integers(0, 5)))
def test_cached_ranking_equals_the_full_ranking(member_sets, queried_indexes):
    cache = RankingCache()
    for number, members in enumerate(member_sets):
        cache.replace_members(members)
        if number not in queried_indexes and number + 1 < len(member_sets):
            continue
        ranked = cache.rank(ADAPTER)
        assert ranked == rank_agents(ADAPTER, members)[: len(ranked)]
        assert len(ranked) >= min(RANKED_MEMBERS_MAX // 2, len(members))
