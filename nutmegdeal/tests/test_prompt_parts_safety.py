"""Crashing prompt parts and requests are refused everywhere, and wrong refusals end.

Gateways learn from crashes and from one another over a store that loses answers, writes
late and returns to a copy. Engines end under crashing parts and for other reasons, one
or all at once, and gateways restart. The bound on further requests holds until the long
refusal ends, and anew after it. Left out: a copy without evidence that only a gateway
which has restarted since had read.
"""

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from nutmegdeal.gateway import crash_blame
from nutmegdeal.gateway.crash_blame import build_request_id, is_request
from nutmegdeal.gateway.suspect_book import SuspectBook, SuspectRecord
from nutmegdeal.tests.prompt_part_load import ModelSite, WriteOutcome, store
from nutmegdeal.tests.state_machine_settings import (
    STATE_MACHINE_SETTINGS,
    faulty_version_settings,
)

FIRST, SECOND, BAD, WORSE = "a", "s", "p", "q"
REQUEST, SOUND_REQUEST = build_request_id("r"), build_request_id("s")
PROMPTS = (
    (FIRST,),
    (FIRST, SECOND),
    (FIRST, BAD),
    (FIRST, BAD),
    (FIRST, BAD, SECOND),
    (FIRST, SECOND, BAD),
    (FIRST, WORSE),
    (FIRST, BAD, WORSE),
    (BAD,),
    (SECOND,),
    (REQUEST,),
    (REQUEST,),
    (FIRST, REQUEST),
    (SOUND_REQUEST,),
    (FIRST, BAD, SOUND_REQUEST),
)
CRASHING_SETS = tuple(
    map(
        frozenset,
        ({BAD}, {BAD}, {BAD, WORSE}, {FIRST}, {REQUEST}, {REQUEST, BAD}, set()),
    )
)
KNOWN_CRASHES = 5
KNOWN_REQUEST_CRASHES = 3
FURTHER_SENDS_MAX = 3
INDEXES = st.integers(0, 5)
OUTCOMES = st.sampled_from([*[WriteOutcome.DONE] * 3, *WriteOutcome])


class PartsMachine(RuleBasedStateMachine):
    """Gateways that learn which parts crash engines, over one store."""

    book_class = SuspectBook

    def __init__(self):
        super().__init__()
        self.start(frozenset())

    @initialize(
        crashing=st.sampled_from(CRASHING_SETS),
        prompts=st.lists(st.sampled_from(PROMPTS), max_size=3),
    )
    def start(self, crashing, prompts=()):
        """Begin with some requests, whose evidence has reached no other gateway."""
        self.site = ModelSite(crashing, self.book_class)
        # Requests with each crashing part sent after all gateways knew of it.
        self.further_sends = {}
        for prompt in prompts:
            self.send_everywhere(prompt, is_known=False, wait_ms=0.0)

    def _gateway(self, index):
        return self.site.gateways[index % len(self.site.gateways)]

    def _engine(self, index):
        return self.site.engines[index % len(self.site.engines)]

    def _send(self, gateway, parts, outcome=WriteOutcome.DONE, engine=0):
        run = self.site.send(gateway, parts, outcome, engine)
        if run is None:
            return
        for part in parts:
            seen = gateway.seen.get(part)
            is_refused = seen is not None and seen.is_refused
            # A refused part is sent only to probe it.
            assert (
                not is_refused or part in gateway.delivered or part in run.probed_parts
            )
            if part in self.further_sends:
                self.further_sends[part] += 1
                assert self.further_sends[part] <= FURTHER_SENDS_MAX

    @rule(
        gateway=INDEXES,
        prompt=st.sampled_from(PROMPTS),
        outcome=OUTCOMES,
        engine=INDEXES,
    )
    def send(self, gateway, prompt, outcome, engine):
        """Let a request arrive at a gateway."""
        self._send(self._gateway(gateway), prompt, outcome, engine)

    @rule(
        prompt=st.sampled_from(PROMPTS),
        is_known=st.booleans(),
        wait_ms=st.sampled_from([0.0, 5_000.0]),
    )
    def send_everywhere(self, prompt, is_known, wait_ms):
        """Let a request arrive at each gateway, for an engine of its own."""
        self.site.now_ms += wait_ms
        for index, gateway in enumerate(self.site.gateways):
            self._send(gateway, prompt, engine=index)
        for engine in self.site.engines:
            self.site.advance(engine)
        self.site.restart_engines()
        if is_known:
            self.synchronize()

    @rule(gateway=INDEXES, prompt=st.sampled_from(PROMPTS), outcome=OUTCOMES)
    def probe(self, gateway, prompt, outcome):
        """Let a request arrive after first refusals, at a gateway that has read all."""
        gateway = self._gateway(gateway)
        self.wait(crash_blame.FIRST_REFUSAL_MS)
        gateway.read_feed(self.site.now_ms)
        self._send(gateway, prompt, outcome)

    @rule(engine=INDEXES)
    def advance(self, engine):
        """Let an engine go on with a run."""
        self.site.advance(self._engine(engine))

    @rule(engines=st.sets(st.integers(0, 2), min_size=1))
    def crash(self, engines):
        """End one, some or all engines for a reason of their own."""
        for index in sorted(engines):
            self.site.crash(self._engine(index))

    @rule(gateway=INDEXES, outcome=OUTCOMES)
    def write(self, gateway, outcome):
        """Let a gateway do its next write."""
        gateway, now_ms = self._gateway(gateway), self.site.now_ms
        if changes := gateway.next_changes(now_ms):
            gateway.write(changes, outcome, now_ms)

    @precondition(lambda self: self.site.store.late_writes)
    @rule(index=INDEXES)
    def perform_late_write(self, index):
        """Perform a write whose gateway no longer waits for it."""
        writes = self.site.store.late_writes
        self.site.store.write(writes.pop(index % len(writes)))

    @rule(gateway=INDEXES, count=st.integers(1, 4))
    def read_feed(self, gateway, count):
        """Let a gateway read some changes."""
        self._gateway(gateway).read_feed(self.site.now_ms, count)

    @rule(wait_ms=st.sampled_from([100.0, 3_000.0, 5_000.0]))
    def wait(self, wait_ms):
        """Let time pass, in which engines that have ended start again."""
        self.site.now_ms += wait_ms
        self.site.restart_engines()

    @rule(gateway=st.integers(0, 2))
    def restart_gateway(self, gateway):
        """Replace a gateway; evidence that it has not stored is lost."""
        self.site.restart_gateway(gateway)
        # What only this gateway had read is lost if the store returns to its copy.
        self.site.store.copy = None

    @rule()
    def take_copy(self):
        """Take a copy of the store."""
        self.site.store.take_copy()

    @precondition(lambda self: self.site.store.copy)
    @rule()
    def restore_copy(self):
        """Return the store to its copy."""
        self.site.store.restore_copy()
        self.site.store.copy = None

    @rule()
    def synchronize(self):
        """Let all evidence reach all gateways."""
        self.site.synchronize()
        for gateway in self.site.gateways:
            assert not gateway.delivered.intersection(self.site.store.rows)
        for part in self.site.crashing - self.further_sends.keys():
            known_from = KNOWN_REQUEST_CRASHES if is_request(part) else KNOWN_CRASHES
            if self.site.count_known_crashes(part) >= known_from:
                self.further_sends[part] = 0

    @rule(part=st.sampled_from([FIRST, SECOND, WORSE, BAD]), index=INDEXES)
    def heal(self, part, index):
        """Let the engines answer again and a probe of a sound part deliver."""
        site = self.site
        if part in site.crashing:
            return
        # What still runs with a crashing part would end the probe's engine.
        for engine in site.engines:
            site.crash(engine)
        site.restart_engines()
        self.synchronize()
        record, _ = site.store.rows.get(part, (SuspectRecord(part), 0))
        is_long = record.probe_count > crash_blame.UNANSWERED_PROBES_MAX
        wait_ms = max(record.refused_until_ms - site.now_ms, 0.0)
        if is_long or part in site.failed_probes:
            self._restart_count(wait_ms)
        else:
            assert wait_ms <= crash_blame.FIRST_REFUSAL_MS
        site.now_ms += wait_ms
        self._send(self._gateway(index), (part,))
        for engine in site.engines:
            site.advance(engine)
        self.synchronize()
        for gateway in site.gateways:
            assert gateway.book.find_refused((part,), site.now_ms) is None

    def _restart_count(self, wait_ms):
        """Allow crashing parts their probe after the long refusal."""
        if wait_ms > crash_blame.FIRST_REFUSAL_MS:
            self.further_sends.clear()

    @invariant()
    def check_rows(self):
        """Each refusal rests on two crashes that ended runs with the part."""
        for record, _ in self.site.store.rows.values():
            ended = [
                crash_id
                for crash_id in record.crash_ids
                if record.suspect_id in self.site.ended_under[crash_id]
            ]
            assert len(ended) == len(record.crash_ids)
            assert len(ended) >= 2 or not record.is_refused
            assert len(record.crashes) <= crash_blame.CRASHES_KEPT_MAX


class KeepsEvidenceToItself(SuspectBook):
    """Refuses on the crashes that its own gateway has seen."""

    def __init__(self):
        super().__init__()
        self._alone = SuspectBook()

    def record_sound(self, parts):
        self._alone.record_sound(parts)
        return super().record_sound(parts)

    def record_own_crash(self, crash, now_ms):
        super().record_own_crash(crash, now_ms)
        store(self._alone, self._alone.plan_crash(crash, now_ms), now_ms)

    def find_refused(self, parts, now_ms):
        return self._alone.find_refused(parts, now_ms)


class KeepsWrongRefusals(SuspectBook):
    """Does not remove the row of a part that has delivered."""

    def record_sound(self, parts):
        super().record_sound(parts)
        return ()

    def apply(self, part, record, version, now_ms):
        super().apply(part, record, version, now_ms)
        return False


class RefusesForGood(SuspectBook):
    """Never probes."""

    def may_probe(self, record, now_ms):
        return False


class ProbesWithoutClaim(SuspectBook):
    """Does not extend the refusal while a probe runs."""

    def plan_probe(self, parts, now_ms):
        return tuple(
            attrs.evolve(record, updated_ms=now_ms)
            for record in self._list_refused(parts)
        )


class CountsCrashesTwice(SuspectBook):
    """Counts one crash for each time that it is reported."""

    def plan_crash(self, crash, now_ms):
        records = super().plan_crash(crash, now_ms)
        return tuple(
            attrs.evolve(record, refused_until_ms=now_ms + 5_000.0)
            for record in records
        )


class ForgetsWhatACopyLacks(SuspectBook):
    """Takes the rows of a copy as all that is known."""

    def missing_records(self, listed):
        super().missing_records(listed)
        self._lost = {}
        return ()


class ExplainsAllByOnePart(SuspectBook):
    """Takes crashes under a refused part as no evidence against others."""

    def _plan_crash(self, *arguments):
        records = super()._plan_crash(*arguments)
        return tuple(r for r in records if not r.explained)


class KnowsOnlyParts(SuspectBook):
    """Takes no notice of requests that crash servers."""

    def unknown_parts(self, parts):
        known = super().unknown_parts(parts)
        return tuple(part for part in known if not is_request(part))


MACHINE_SETTINGS = settings(STATE_MACHINE_SETTINGS, stateful_step_count=30)
FAULTY_VERSION_SETTINGS = settings(
    faulty_version_settings(1_000), stateful_step_count=30
)


def build_machine(book_class):
    return type("Machine", (PartsMachine,), {"book_class": book_class})


def test_crashing_parts_are_refused_and_sound_ones_are_served():
    run_state_machine_as_test(build_machine(SuspectBook), settings=MACHINE_SETTINGS)


@pytest.mark.parametrize(
    "book_class",
    [
        KeepsEvidenceToItself,
        KeepsWrongRefusals,
        RefusesForGood,
        CountsCrashesTwice,
        KnowsOnlyParts,
    ],
)
def test_faulty_version_is_detected(book_class):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            build_machine(book_class), settings=FAULTY_VERSION_SETTINGS
        )


def start_machine(book_class, *crashing):
    """Return a machine with crashing parts."""
    machine = build_machine(book_class)()
    machine.start(frozenset(crashing))
    return machine


def crash_before_evidence_travels(machine, parts):
    """Let six engines end, of which each gateway sees two."""
    machine.send_everywhere(parts, is_known=False, wait_ms=0.0)
    machine.send_everywhere(parts, is_known=True, wait_ms=0.0)


def send_for_a_while(machine, parts):
    """Let requests arrive at all gateways while the refusal ends several times."""
    for _ in range(8):
        machine.send_everywhere(parts, is_known=True, wait_ms=5_000.0)


def probe_at_all_gateways(book_class):
    """Let each gateway read what the others wrote before it may probe."""
    machine = start_machine(book_class, BAD)
    machine.send_everywhere((FIRST,), is_known=True, wait_ms=0.0)
    crash_before_evidence_travels(machine, (FIRST, BAD))
    machine.wait(5_000.0)
    for index in range(6):
        machine.read_feed(index, count=4)
        machine.send(index, (FIRST, BAD), WriteOutcome.DONE, index)


def return_to_an_empty_copy(book_class):
    """Return the store to a copy from before the crashes."""
    machine = start_machine(book_class, BAD)
    machine.take_copy()
    crash_before_evidence_travels(machine, (FIRST, BAD))
    machine.restore_copy()
    send_for_a_while(machine, (FIRST, BAD))


def crash_beside_a_refused_part(book_class):
    """Let a crashing part stand beside a narrower one that is refused first."""
    machine = start_machine(book_class, FIRST)
    crash_before_evidence_travels(machine, (FIRST, BAD))
    send_for_a_while(machine, (FIRST, SECOND))


@pytest.mark.parametrize(
    ("play", "faulty_class"),
    [
        (probe_at_all_gateways, ProbesWithoutClaim),
        (return_to_an_empty_copy, ForgetsWhatACopyLacks),
        (crash_beside_a_refused_part, ExplainsAllByOnePart),
    ],
)
def test_faulty_version_is_detected_in_a_rare_case(play, faulty_class):
    """Faults that a random search seldom meets, by the checks of the same machine."""
    play(SuspectBook)
    with pytest.raises(AssertionError):
        play(faulty_class)
