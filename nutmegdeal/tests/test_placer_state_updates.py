"""Tests of what a placer tells each gateway, without a network."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from nutmegdeal.engine_messages import EngineChange, EngineState
from nutmegdeal.placer.state_updates import (
    QUEUE_CHANGE_COUNT,
    UPDATE_EVERY_MS,
    StateUpdates,
)
from nutmegdeal.tests import platform_builders as build

ADAPTERS = [f"a{number}@1" for number in range(6)]


def greeted(*sessions, **changes):
    teller = StateUpdates()
    for session in sessions:
        teller.add_session(session, build.build_engine_state(**changes), 0.0)
    return teller


def test_only_the_gateway_that_waits_hears_of_an_adapter_at_once():
    teller = greeted("s", "t")
    state = build.build_engine_state(resident=("a1@1",))
    ((session, message),) = teller.take_due(state, {"s": {"a1"}}, 10.0)
    assert session == "s"
    assert message.arrived == ("a1@1",)


def test_the_others_hear_of_it_with_the_next_numbers():
    teller = greeted("s", "t")
    state = build.build_engine_state(resident=("a1@1",))
    teller.take_due(state, {"s": {"a1"}}, 10.0)
    told = dict(teller.take_due(state, {}, UPDATE_EVERY_MS))
    assert told["t"].arrived == ("a1@1",)
    assert "s" not in told


def test_a_gateway_that_believes_otherwise_gets_the_whole_state():
    teller = greeted("s", resident=("a1@1",))
    state = build.build_engine_state(resident=("a1@1",))
    assert teller.take_due(state, {"s": {"a1"}}, 10.0) == [("s", state)]


def test_a_restart_is_told_to_all_at_once():
    teller = greeted("s", "t")
    state = build.build_engine_state(backend_started_unix_ms=8)
    assert dict(teller.take_due(state, {}, 10.0)) == {"s": state, "t": state}


def test_a_queue_that_grows_fast_is_told_at_once():
    teller = greeted("s")
    state = build.build_engine_state(queued_count=QUEUE_CHANGE_COUNT - 1)
    assert not teller.take_due(state, {}, 10.0)
    state = build.build_engine_state(queued_count=QUEUE_CHANGE_COUNT)
    assert len(teller.take_due(state, {}, 10.0)) == 1


def test_a_session_that_ended_is_told_nothing():
    teller = greeted("s")
    teller.remove_session("s")
    assert not teller.take_due(build.build_engine_state(), {"s": {"a1"}}, 10_000.0)


class TellingMachine(RuleBasedStateMachine):
    """Gateways that follow the messages know what the engine holds."""

    @initialize()
    def start(self):
        self.now_ms = 0.0
        self.state = build.build_engine_state()
        self.teller = StateUpdates()
        self.members = {}

    @rule(session=st.sampled_from("stu"))
    def connect(self, session):
        self.teller.remove_session(session)
        member = self.members[session] = build.build_member()
        self.follow(member, self.teller.add_session(session, self.state, self.now_ms))

    @rule(
        resident=st.sets(st.sampled_from(ADAPTERS)),
        started=st.sampled_from([7, 7, 7, 8]),
    )
    def change(self, resident, started):
        self.state = build.build_engine_state(
            resident=tuple(sorted(resident)), backend_started_unix_ms=started
        )

    @rule(session=st.sampled_from("stu"), adapter=st.sampled_from(ADAPTERS))
    def disbelieve(self, session, adapter):
        """Have a gateway drop an adapter that a server denied, and want it."""
        if session not in self.members or adapter not in self.state.resident:
            return
        name = adapter.split("@")[0]
        self.members[session].resident.pop(name, None)
        self.tell({session: {name}})
        assert self.members[session].holds(name, 1)

    @rule(step_ms=st.sampled_from([10.0, 300.0]))
    def pass_time(self, step_ms):
        self.now_ms += step_ms
        self.tell({})

    def tell(self, fulfilled):
        for session, message in self.teller.take_due(
            self.state, fulfilled, self.now_ms
        ):
            self.follow(self.members[session], message)

    def follow(self, member, message):
        if isinstance(message, EngineState):
            member.set_resident(message.resident)
        else:
            assert isinstance(message, EngineChange)
            member.update_resident(message.arrived, message.left)

    @rule()
    def are_up_to_date_after_a_pause(self):
        self.now_ms += UPDATE_EVERY_MS
        self.tell({})
        held = set(self.state.resident)
        for member in self.members.values():
            known = {f"{name}@{version}" for name, version in member.resident.items()}
            assert known == held


TestTellingMachine = TellingMachine.TestCase
