"""Tests of the state updates that a placer sends to gateways, without a network."""

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


def build_updates(*sessions, **changes):
    updates = StateUpdates()
    for session in sessions:
        updates.add_session(session, build.build_engine_state(**changes), 0.0)
    return updates


def test_only_the_waiting_gateway_is_updated_at_once():
    updates = build_updates("s", "t")
    state = build.build_engine_state(resident=("a1@1",))
    ((session, message),) = updates.take_due(state, {"s": {"a1"}}, 10.0)
    assert session == "s"
    assert message.added_adapters == ("a1@1",)


def test_leaving_engine_is_announced_to_all_gateways_at_once():
    updates = build_updates("s", "t")
    state = build.build_engine_state(is_leaving=True)
    sent = dict(updates.take_due(state, {}, 10.0))
    assert sent == {"s": state, "t": state}


def test_other_gateways_are_updated_at_the_next_interval():
    updates = build_updates("s", "t")
    state = build.build_engine_state(resident=("a1@1",))
    updates.take_due(state, {"s": {"a1"}}, 10.0)
    sent = dict(updates.take_due(state, {}, UPDATE_EVERY_MS))
    assert sent["t"].added_adapters == ("a1@1",)
    assert "s" not in sent


def test_gateway_with_a_different_view_gets_the_whole_state():
    updates = build_updates("s", resident=("a1@1",))
    state = build.build_engine_state(resident=("a1@1",))
    assert updates.take_due(state, {"s": {"a1"}}, 10.0) == [("s", state)]


def test_restart_is_sent_to_all_gateways_at_once():
    updates = build_updates("s", "t")
    state = build.build_engine_state(backend_started_unix_ms=8)
    assert dict(updates.take_due(state, {}, 10.0)) == {"s": state, "t": state}


def test_large_queue_change_is_sent_at_once():
    updates = build_updates("s")
    state = build.build_engine_state(queued_count=QUEUE_CHANGE_COUNT - 1)
    assert not updates.take_due(state, {}, 10.0)
    state = build.build_engine_state(queued_count=QUEUE_CHANGE_COUNT)
    assert len(updates.take_due(state, {}, 10.0)) == 1


def test_ended_session_gets_no_updates():
    updates = build_updates("s")
    updates.remove_session("s")
    assert not updates.take_due(build.build_engine_state(), {"s": {"a1"}}, 10_000.0)


class StateUpdatesMachine(RuleBasedStateMachine):
    """Gateways that apply all messages know which adapters the engine holds."""

    @initialize()
    def start(self):
        self.now_ms = 0.0
        self.state = build.build_engine_state()
        self.updates = StateUpdates()
        self.members = {}

    @rule(session=st.sampled_from("stu"))
    def connect(self, session):
        self.updates.remove_session(session)
        member = self.members[session] = build.build_member()
        self.apply(member, self.updates.add_session(session, self.state, self.now_ms))

    @rule(
        resident=st.sets(st.sampled_from(ADAPTERS)),
        started=st.sampled_from([7, 7, 7, 8]),
    )
    def change(self, resident, started):
        self.state = build.build_engine_state(
            resident=tuple(sorted(resident)), backend_started_unix_ms=started
        )

    @rule(session=st.sampled_from("stu"), adapter=st.sampled_from(ADAPTERS))
    def lose_and_wait_for(self, session, adapter):
        """Drop a resident adapter from a gateway's view, and let it wait for it."""
        if session not in self.members or adapter not in self.state.resident:
            return
        name = adapter.split("@")[0]
        self.members[session].resident.pop(name, None)
        self.send_due({session: {name}})
        assert self.members[session].holds(name, 1)

    @rule(step_ms=st.sampled_from([10.0, 300.0]))
    def advance_time(self, step_ms):
        self.now_ms += step_ms
        self.send_due({})

    def send_due(self, fulfilled):
        for session, message in self.updates.take_due(
            self.state, fulfilled, self.now_ms
        ):
            self.apply(self.members[session], message)

    def apply(self, member, message):
        if isinstance(message, EngineState):
            member.set_resident(message.resident)
        else:
            assert isinstance(message, EngineChange)
            member.update_resident(message.added_adapters, message.removed_adapters)

    @rule()
    def are_up_to_date_after_an_interval(self):
        self.now_ms += UPDATE_EVERY_MS
        self.send_due({})
        held = set(self.state.resident)
        for member in self.members.values():
            known = {f"{name}@{version}" for name, version in member.resident.items()}
            assert known == held


TestStateUpdatesMachine = StateUpdatesMachine.TestCase
