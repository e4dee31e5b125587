"""Each field of the configuration is changed beside a request in each state."""

import gevent
import pytest
import structlog
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from nutmegdeal.fakes.platform_configuration import PLAIN_SERVICE
from nutmegdeal.tests.configuration_builders import (
    BODY_BYTES_MAX,
    CHANGES,
    DEADLINE_REFUSALS,
    HEADER_BYTES_MAX,
    LIMIT_REFUSALS,
    change_limits,
)
from nutmegdeal.tests.held_gateway import ADAPTER, HeldGateway
from nutmegdeal.tests.request_states import (
    STATES,
    HeadHalfRead,
    KeptConnection,
    Pipelined,
    WaitingForLoad,
    WaitingForStart,
)
from nutmegdeal.tests.state_machine_settings import STATE_MACHINE_SETTINGS

# Pause that lets the gateway read the first piece of a head.
PIECE_PAUSE_S = 0.05
SLOW_HEAD_S = 0.2
# Longer than a change takes to be in force.
IDLE_TIMEOUT_MS = 600
# With which a configuration may refuse requests whose route was not chosen before.
REFUSALS = LIMIT_REFUSALS | DEADLINE_REFUSALS | {404}
MACHINE_SETTINGS = settings(
    STATE_MACHINE_SETTINGS, max_examples=8, stateful_step_count=10
)
LIMIT_PER_S = 0.5
CRASH_EVENTS = {
    "request_crashed",
    "connection_crashed",
    "placer_link_crashed",
    "controller_crashed",
}


@pytest.fixture(scope="module")
def running_gateway(bridge):
    with pytest.MonkeyPatch.context() as monkeypatch:
        running = HeldGateway(monkeypatch, bridge)
        yield running
        running.close()


@pytest.fixture
def gateway(running_gateway):
    running_gateway.change()
    yield running_gateway
    running_gateway.holds.release()


@pytest.fixture
def crashes():
    """Return the log entries of exceptions, of which a test must cause none."""
    with structlog.testing.capture_logs() as entries:
        found = []
        yield found
        found += [item for item in entries if item["event"] in CRASH_EVENTS]
    assert not found


def begin_all(gateway):
    """Bring a request into each state."""
    states = [build_state(gateway) for build_state in STATES]
    for state in states:
        state.begin()
    for state in states:
        state.wait()
    return states


def finish_all(gateway, states, refusals):
    """Let all requests go on, and check that each gets a whole answer or a refusal."""
    for state in states:
        state.go_on()
    gateway.holds.release()
    finishing = [gevent.spawn(state.finish) for state in states]
    gevent.joinall(finishing)
    wrong = {}
    for state, greenlet in zip(states, finishing, strict=True):
        answer = greenlet.get()
        is_served = answer.status_code == 200 and answer.body == state.expected_body
        is_refused = answer.status_code in refusals and not state.is_admitted
        if not (answer.is_whole and (is_served or is_refused)):
            wrong[type(state).__name__] = answer
        state.close()
    assert not wrong


class ChangesMachine(RuleBasedStateMachine):
    """Changes in any order, several at once, beside requests in any states."""

    def __init__(self, gateway):
        super().__init__()
        self.gateway = gateway
        self.states = []

    @rule(build_state=st.sampled_from(STATES))
    def begin(self, build_state):
        """Bring a request into a state."""
        self.gateway.change()
        state = build_state(self.gateway)
        self.states.append(state)
        state.begin()
        state.wait()

    @rule(changes=st.lists(st.sampled_from(CHANGES), min_size=1, max_size=3))
    def change(self, changes):
        """Put several changes in force as one version."""
        self.gateway.change(*changes)

    @rule(changes=st.lists(st.sampled_from(CHANGES), min_size=2, max_size=9))
    def change_in_a_burst(self, changes):
        """Write one version with each change."""
        self.gateway.write_versions(changes)

    @rule()
    def announce_version(self):
        """Announce a version of the adapter that most requests use."""
        self.gateway.announce_version(ADAPTER)

    @rule()
    def finish(self):
        """Let all requests go on."""
        if any(type(state) is WaitingForStart for state in self.states):
            # Only a change would end this state otherwise, and there may be none.
            self.gateway.board.update_initialized()
        self.gateway.wait_until_in_force()
        states, self.states = self.states, []
        finish_all(self.gateway, states, REFUSALS)

    def teardown(self):
        """Let all requests go on."""
        self.finish()
        self.gateway.change()


def test_requests_in_any_states_outlast_changes_in_any_order(gateway, crashes):
    run_state_machine_as_test(
        lambda: ChangesMachine(gateway), settings=MACHINE_SETTINGS
    )


def test_request_that_waits_for_the_start_is_finished_without_a_change(
    gateway, crashes
):
    machine = ChangesMachine(gateway)
    machine.begin(WaitingForStart)
    machine.finish()
    machine.teardown()


@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.name)
def test_requests_in_all_states_outlast_a_change(gateway, crashes, change):
    states = begin_all(gateway)
    gateway.change(change)
    finish_all(gateway, states, change.refusals)


def test_requests_for_limited_servers_are_answered_beside_each_change(gateway, crashes):
    # Nothing waits for a slot: a request that gets none is refused at once.
    gateway.limit_servers(PLAIN_SERVICE, LIMIT_PER_S)
    try:
        for change in CHANGES:
            states = [HeadHalfRead(gateway), Pipelined(gateway)]
            for state in states:
                state.begin()
            gateway.change(change)
            for state in states:
                state.go_on()
            gateway.holds.release()
            answers = [state.caller.read_answer() for state in states]
            assert all(answer.is_whole for answer in answers)
            assert {answer.status_code for answer in answers} <= REFUSALS | {200}
            for state in states:
                state.close()
    finally:
        gateway.limit_servers(PLAIN_SERVICE, None)


def test_requests_in_all_states_outlast_new_versions_of_their_adapters(
    gateway, crashes
):
    states = begin_all(gateway)
    waiting = next(item for item in states if type(item) is WaitingForLoad)
    for adapter in (ADAPTER, waiting.adapter):
        gateway.announce_version(adapter)
    gateway.board.update_initialized()
    finish_all(gateway, states, ())


def test_requests_in_all_states_outlast_a_burst_of_versions(gateway, crashes):
    states = begin_all(gateway)
    gateway.write_versions(CHANGES)
    gateway.change()
    finish_all(gateway, states, ())


class KeptWithLargeHead(KeptConnection):
    """The same with a head that only the changed limit allows, in two pieces."""

    def begin(self):
        """Get an answer, so that the connection is idle."""
        super().begin()
        data = self.encode(extra=b"X-Filler: %s\r\n" % (b"x" * 2 * HEADER_BYTES_MAX))
        self._pieces = data[:-1], data[-1:]

    def go_on(self):
        """Send the head without its end, and then the end."""
        self.caller.send(self._pieces[0])
        gevent.sleep(PIECE_PAUSE_S)
        self.caller.send(self._pieces[1])


class KeptWithLargeBody(KeptConnection):
    """The same with a body that only the changed limit allows."""

    def begin(self):
        """Get an answer, so that the connection is idle."""
        super().begin()
        self._rest = self.encode(body=b"x" * 2 * BODY_BYTES_MAX)


class KeptWithSlowHead(KeptConnection):
    """The same with a head that only the changed timeout allows."""

    def go_on(self):
        """Send the head with a pause."""
        self.caller.send(self._rest[:30])
        gevent.sleep(SLOW_HEAD_S)
        self.caller.send(self._rest[30:])


@pytest.mark.parametrize(
    ("build_state", "before", "after"),
    [
        (KeptWithLargeHead, {}, {"max_header_bytes": 4 * HEADER_BYTES_MAX}),
        (KeptWithLargeBody, {}, {"max_body_bytes": 4 * BODY_BYTES_MAX}),
        (
            KeptWithSlowHead,
            {"header_timeout_ms": SLOW_HEAD_S * 1000 / 2},
            {"header_timeout_ms": 20_000},
        ),
    ],
)
def test_requests_on_kept_connections_are_held_to_the_limits_in_force(
    gateway, crashes, build_state, before, after
):
    gateway.change(change_limits("before", **before))
    state = build_state(gateway)
    state.begin()
    gateway.change(change_limits("after", **after))
    finish_all(gateway, [state], ())


def test_connection_is_kept_for_the_idle_timeout_in_force(gateway, crashes):
    gateway.change(change_limits("before", idle_timeout_ms=IDLE_TIMEOUT_MS))
    state = KeptConnection(gateway)
    state.begin()
    gateway.change(change_limits("after", idle_timeout_ms=20_000))
    gevent.sleep(1.5 * IDLE_TIMEOUT_MS / 1000)
    finish_all(gateway, [state], ())


@pytest.mark.parametrize("value", [b"", b"{}", b'{"version": 9e9}', b"[" * 10_000])
def test_requests_in_all_states_outlast_a_row_that_cannot_be_read(
    gateway, crashes, value
):
    states = begin_all(gateway)
    gateway.write_row(value)
    gateway.change()
    finish_all(gateway, states, ())
