"""Tests of where a request goes, without a network; heavy days are played."""

import heapq
import random

from nutmegdeal.gateway import backend_selection
from nutmegdeal.gateway.backend_selection import (
    AdapterChooser,
    LoadFirst,
    SendNow,
    choose_plain,
    selection_cost,
)
from nutmegdeal.gateway.outcomes import OutcomeHistory
from nutmegdeal.site import LOAD_MS, LOADS_AT_ONCE
from nutmegdeal.tests import platform_builders as build


def play_popular_adapter(choose, gateway_count=28, engine_count=6):
    """Return the mean excess of the busiest engine over all, in requests.

    24 requests a second on one adapter come to the gateways by chance and run for
    1.8 s; each engine tells its load every 450 ms.
    """
    source = random.Random(1)
    choosers = [AdapterChooser("a", source) for _ in range(gateway_count)]
    views = [
        [build.build_member(f"i-{n}", ["hot@1"]) for n in range(engine_count)]
        for _ in choosers
    ]
    tell_ms = [source.random() * 450.0 for _ in range(engine_count)]
    running = [8] * engine_count
    ends, excess, now_ms = [], [], 0.0
    while now_ms < 30_000.0:
        now_ms += source.expovariate(24.0) * 1_000
        while ends and ends[0][0] <= now_ms:
            running[heapq.heappop(ends)[1]] -= 1
        for number in range(engine_count):
            if tell_ms[number] <= now_ms:
                tell_ms[number] += 450.0
                for view in views:
                    view[number].record_load(running[number], 0, now_ms, 1_000.0)
        gateway = source.randrange(gateway_count)
        member = choose(choosers[gateway], views[gateway], now_ms)
        number = views[gateway].index(member)
        member.record_sent(now_ms)
        member.in_flight_count = 0
        running[number] += 1
        heapq.heappush(ends, (now_ms + source.expovariate(1 / 1.8) * 1_000, number))
        excess.append(max(running) - sum(running) / engine_count)
    return sum(excess) / len(excess)


def play_after_crash(adapter_count=60, slots=32, run_ms=1_800.0):
    """Return how long requests wait for their adapter and a slot, in ms.

    75 requests a second on adapters that only three of six engines hold need 135
    slots; the three have 96.
    """
    source = random.Random(1)
    members = [build.build_member(f"i-{n}", slots=slots) for n in range(6)]
    for member in members:
        member.has_model = True
    for number in range(adapter_count):
        members[number % 3].resident[f"a{number}"] = 1
    chooser = AdapterChooser("a", source)
    free_ms = {item.backend_id: [0.0] * slots for item in members}
    ends, loads, waits_ms, now_ms = [], [], [], 0.0
    while now_ms < 20_000.0:
        now_ms += source.expovariate(75.0) * 1_000
        while ends and ends[0][0] <= now_ms:
            members[heapq.heappop(ends)[1]].in_flight_count -= 1
        while loads and loads[0][0] <= now_ms:
            _, number, adapter = heapq.heappop(loads)
            members[number].resident[adapter] = 1
        adapter = f"a{source.randrange(adapter_count)}"
        chooser.record_request(adapter, now_ms)
        choice = chooser.choose(adapter, None, members, now_ms)
        number = members.index(choice.member)
        start_ms = now_ms
        if isinstance(choice, LoadFirst):
            start_ms += LOAD_MS
            heapq.heappush(loads, (start_ms, number, adapter))
        if getattr(choice, "also_load", None) is not None:
            other = members.index(choice.also_load)
            heapq.heappush(loads, (now_ms + LOAD_MS, other, adapter))
        slots_free_ms = free_ms[choice.member.backend_id]
        start_ms = max(start_ms, heapq.heappop(slots_free_ms))
        heapq.heappush(slots_free_ms, start_ms + run_ms)
        choice.member.in_flight_count += 1
        heapq.heappush(ends, (start_ms + run_ms, number))
        waits_ms.append(start_ms - now_ms)
    return waits_ms


class TestChoosing:
    """Where a request goes."""

    def test_an_engine_that_holds_the_adapter_is_used(self):
        members = [
            build.build_member("i-1"),
            build.build_member("i-2", resident=["a7@1"]),
        ]
        choice = AdapterChooser("a").choose("a7", None, members, 0.0)
        assert choice == SendNow(members[1])

    def test_one_engine_is_asked_to_load_what_none_holds(self):
        members = [build.build_member(f"i-{n}") for n in range(6)]
        chooser = AdapterChooser("a")
        homes = {chooser.choose("a7", None, members, 0.0).member.backend_id}
        homes |= {
            AdapterChooser("b").choose("a7", None, members, 0.0).member.backend_id
            for n in range(20)
        }
        assert len(homes) == 1

    def test_an_engine_with_an_older_version_is_not_asked_to_replace_it(self):
        members = [build.build_member(f"i-{n}") for n in range(3)]
        chooser = AdapterChooser("a")
        home = chooser.choose("a7", 1, members, 0.0).member
        home.set_resident(["a7@1"])
        choice = chooser.choose("a7", 2, members, 0.0)
        assert isinstance(choice, LoadFirst)
        assert choice.member is not home

    def test_a_popular_adapter_gets_more_copies(self):
        chooser = AdapterChooser("a")
        for number in range(300):
            chooser.record_request("hot" if number % 2 else f"cold-{number}", number)
        assert chooser.copy_count("hot", 6, 300.0) >= 3
        assert chooser.copy_count("cold-2", 6, 300.0) == 1

    def test_a_chance_repeat_among_thousands_makes_no_copies(self):
        """Play the load of a small gateway in front of 25 engines."""
        source = random.Random(1)
        chooser = AdapterChooser("a")
        weights = [1 / (rank + 1) ** 1.2 for rank in range(10_000)]
        now_ms, copied = 0.0, set()
        for _ in range(150):
            now_ms += source.expovariate(7.0) * 1_000
            (rank,) = source.choices(range(10_000), weights)
            chooser.record_request(str(rank), now_ms)
            if chooser.copy_count(str(rank), 25, now_ms) > 1:
                copied.add(rank)
        assert 0 in copied
        assert len(copied) <= 10

    def test_the_first_request_of_a_process_makes_no_adapter_popular(self):
        chooser = AdapterChooser("a")
        chooser.record_request("a7", 0.0)
        assert chooser.copy_count("a7", 20, 0.0) == 1

    def test_a_rare_adapter_is_not_copied_because_its_engine_is_crowded(self):
        members = [build.build_member("i-1", resident=["rare@1", "hot@1"])]
        members += [build.build_member(f"i-{n}") for n in range(2, 8)]
        members[0].in_flight_count = 40
        chooser = AdapterChooser("a")
        for number in range(200):
            chooser.record_request("hot" if number % 8 == 0 else f"c{number}", number)
        chooser.record_request("rare", 200.0)
        assert chooser.choose("rare", None, members, 200.0) == SendNow(members[0])
        assert chooser.choose("hot", None, members, 200.0).also_load is not None

    def test_gateways_with_old_numbers_do_not_crowd_one_engine(self):
        """Play a popular adapter on six engines, told every 450 ms."""
        chosen = play_popular_adapter(
            lambda chooser, members, now_ms: (
                chooser.choose("hot", None, members, now_ms).member
            )
        )
        least = play_popular_adapter(
            lambda _, members, now_ms: min(
                members, key=lambda item: selection_cost(item, "a", now_ms)
            )
        )
        assert chosen < 0.6 * least

    def test_a_full_engine_is_relieved_by_one_with_room(self):
        full = build.build_member("i-1", ["a7@1"], slots=32)
        roomy = build.build_member("i-2", slots=32)
        roomy.has_model = True
        full.in_flight_count = 36
        chooser = AdapterChooser("a")
        relieved = LoadFirst(roomy, fallback=full)
        assert chooser.choose("a7", None, [full, roomy], 0.0) == relieved
        roomy.queued_count = LOADS_AT_ONCE
        assert chooser.choose("a7", None, [full, roomy], 0.0) == SendNow(full)
        roomy.queued_count = 0
        full.in_flight_count = 34
        assert chooser.choose("a7", None, [full, roomy], 0.0) == SendNow(full)
        full.in_flight_count, roomy.in_flight_count = 36, 30
        assert chooser.choose("a7", None, [full, roomy], 0.0) == SendNow(full)

    def test_a_free_engine_is_used_before_a_load(self):
        members = [build.build_member(f"i-{n}", ["a7@1"], slots=32) for n in range(5)]
        members.append(build.build_member("i-9", slots=32))
        members[-1].has_model = True
        for member in members[:4]:
            member.in_flight_count = 40
        chooser = AdapterChooser("a", random.Random(1))
        for _ in range(20):
            choice = chooser.choose("a7", None, members, 0.0)
            assert choice.member is members[4]

    def test_callers_wait_less_when_half_of_the_engines_are_back_empty(
        self, monkeypatch
    ):
        """Play the load after a crash: adapters of six engines are on three."""
        waits_ms = play_after_crash()
        monkeypatch.setattr(backend_selection, "FULL_COUNT", float("inf"))
        before_ms = play_after_crash()
        late, late_before = (
            sum(wait_ms > 500.0 for wait_ms in waits) for waits in (waits_ms, before_ms)
        )
        assert late_before > 0.2 * len(before_ms)
        assert late < 0.25 * late_before

    def test_a_failing_server_gets_little(self):
        members = [
            build.build_member(f"i-{n}", service=build.PLAIN_SERVICE) for n in range(2)
        ]
        for number in range(20):
            members[0].history.record_outcome(True, float(number))
        assert choose_plain(members, "a", 20.0, random.Random(1)) is members[1]
        members[1].in_flight_count = 30
        assert choose_plain(members, "a", 20.0, random.Random(1)) is members[0]

    def test_a_server_that_cannot_be_reached_is_avoided_and_tried_again(self):
        history = OutcomeHistory()
        history.record_unreachable(0.0)
        assert history.is_blocked(100.0)
        assert not history.is_blocked(5_000.0)
