"""Revoked API keys run nowhere, whatever fails; keys that are allowed get no 401.

Several gateways, on hosts whose clocks drift, read the operator's row from a store that
is silent for all or some, answers late and returns from copies. Processes are stopped,
hosts are suspended, rows cannot be decoded and requests take seconds to arrive. All
keys are tried at all gateways in each 0.2 s, also at those cut off, and right after a
gateway goes on. No gateway is excused.
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from nutmegdeal.tests import key_load
from nutmegdeal.tests.key_load import KEYS, KeyGateway, KeySite
from nutmegdeal.tests.state_machine_settings import (
    STATE_MACHINE_SETTINGS,
    faulty_version_settings,
)

# Steps of an example; each plays up to 6 s.
STEP_COUNT = 20
INDEXES = st.integers(0, 2)
DURATIONS_MS = st.sampled_from([600.0, 2_000.0, 6_000.0])


class KeyMachine(RuleBasedStateMachine):
    """Gateways that check keys, and the operator who gives and takes them."""

    gateway_class = KeyGateway

    def __init__(self):
        super().__init__()
        self.site = KeySite(self.gateway_class)
        self.site.advance(2_000.0)

    @rule(duration_ms=DURATIONS_MS)
    def wait(self, duration_ms):
        """Let time pass."""
        self.site.advance(duration_ms)

    @rule(keys=st.sets(st.sampled_from(KEYS)), is_malformed=st.booleans())
    def publish(self, keys, is_malformed):
        """Publish a configuration."""
        self.site.store.publish(keys, is_malformed)

    @rule(age=st.integers(1, 3))
    def restore(self, age):
        """Return the store to a copy; the operator writes again within seconds."""
        self.site.store.restore(age)
        self.site.advance(1_000.0)
        self.site.store.publish(KEYS[:1])

    @rule(is_silent=st.booleans())
    def change_store(self, is_silent):
        """Let the store be silent, or return."""
        self.site.store.is_silent = is_silent

    @rule(index=INDEXES, is_cut=st.booleans())
    def cut(self, index, is_cut):
        """Cut a gateway off from the store, or end the cut."""
        self.site.gateways[index].is_cut = is_cut

    @rule(index=INDEXES, delay_ms=st.sampled_from([0.0, 400.0, 2_200.0]))
    def delay(self, index, delay_ms):
        """Delay the answers of the store to a gateway."""
        self.site.gateways[index].delay_ms = delay_ms

    @rule(index=INDEXES, duration_ms=DURATIONS_MS, is_suspended=st.booleans())
    def stop(self, index, duration_ms, is_suspended):
        """Stop a gateway, or suspend its host."""
        self.site.gateways[index].stop(duration_ms, is_suspended)

    @rule(index=INDEXES)
    def restart(self, index):
        """Restart a gateway."""
        self.site.gateways[index].restart()

    @rule(index=INDEXES, key=st.sampled_from(KEYS), duration_ms=DURATIONS_MS)
    def send_slowly(self, index, key, duration_ms):
        """Let a request arrive that takes long to be read."""
        self.site.gateways[index].begin_request(key, duration_ms)


TestKeys = KeyMachine.TestCase
TestKeys.settings = settings(STATE_MACHINE_SETTINGS, stateful_step_count=STEP_COUNT)


@pytest.mark.parametrize(
    "faulty_class",
    [
        key_load.MonotonicGateway,
        key_load.ReceiveTimeGateway,
        key_load.UncheckedGateway,
        key_load.HastyGateway,
        key_load.LenientGateway,
    ],
    ids=lambda item: item.__name__,
)
def test_faulty_check_is_detected(faulty_class):
    class FaultyMachine(KeyMachine):
        gateway_class = faulty_class

    with pytest.raises(AssertionError, match="was revoked|was 401"):
        run_state_machine_as_test(
            FaultyMachine, settings=faulty_version_settings(1_500)
        )
