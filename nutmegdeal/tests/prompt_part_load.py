"""Model of gateways, engines and the store, for the decisions about prompt parts."""

import enum

import attrs

from nutmegdeal.gateway.suspect_book import Crash, SuspectBook


def store(book, records, now_ms=0.0):
    """Apply records as if the book's write had succeeded."""
    for record in records:
        book.apply(
            record.suspect_id, record, book.version(record.suspect_id) + 1, now_ms
        )


class WriteOutcome(enum.Enum):
    """What becomes of a write, apart from its conditions."""

    DONE = "done"
    ANSWER_LOST = "answer_lost"
    LATE = "late"
    REFUSED = "refused"


@attrs.define
class ModelStore:
    """A table with versions, conditional transactions, a feed and a copy.

    After the return of the copy, versions are given out again in a new era.
    """

    rows: dict = attrs.field(factory=dict)
    feed: list = attrs.field(factory=list)
    version: int = 0
    era: int = 1
    copy: tuple | None = None
    late_writes: list = attrs.field(factory=list)

    def write(self, changes):
        """Write records under the versions that they replace.

        Parameters
        ----------
        changes : dict of str to (SuspectRecord or None, int)

        Returns
        -------
        tuple of bool and list
            Whether it was written, and the rows now: part, record, version.
        """
        is_current = all(
            self._find(part)[1] == version for part, (_, version) in changes.items()
        )
        if not is_current:
            return False, [(part, *self._find(part)) for part in changes]
        for part, (record, _) in changes.items():
            self.version += 1
            self.rows[part] = record, self.version
            if record is None:
                del self.rows[part]
            self.feed.append((part, record, self.version))
        return True, self.feed[-len(changes) :]

    def _find(self, part):
        return self.rows.get(part, (None, 0))

    def take_copy(self):
        """Take the copy that `restore_copy` returns to."""
        self.copy = dict(self.rows), self.version

    def restore_copy(self):
        """Return to the copy, which begins a new era."""
        rows, self.version = self.copy
        self.rows, self.feed, self.era = dict(rows), [], self.era + 1


@attrs.define(eq=False)
class Run:
    """A request at an engine."""

    gateway: object
    parts: tuple
    probed_parts: tuple = ()
    has_delivered: bool = False


@attrs.define
class ModelEngine:
    """An engine whose process a crashing part ends."""

    name: str
    start_count: int = 1
    is_up: bool = True
    runs: list = attrs.field(factory=list)

    @property
    def crash_id(self):
        """Return the id of the incarnation that runs (str)."""
        return f"{self.name}@{self.start_count}"


class ModelGateway:
    """The writes and reads of one gateway around its SuspectBook.

    Parameters
    ----------
    store : ModelStore
    book : SuspectBook
    now_ms : float
    """

    def __init__(self, store, book, now_ms):
        self.store = store
        self.book = book
        # The newest rows that it has read, kept without the book; None if removed.
        self.seen = {}
        self.delivered = set()
        self.seen_crashes = set()
        self.removals = set()
        self._era = store.era
        self._read_count = 0
        self._read_all(now_ms)

    def _read_all(self, now_ms):
        listed = {part: record for part, (record, _) in self.store.rows.items()}
        self.book.missing_records(listed)
        self._seen_versions = {}
        for part, (record, version) in self.store.rows.items():
            self._apply(part, record, version, now_ms)
        self._era, self._read_count = self.store.era, len(self.store.feed)

    def _apply(self, part, record, version, now_ms):
        if not 0 < version < self._seen_versions.get(part, 0):
            self.seen[part], self._seen_versions[part] = record, version
        if self.book.apply(part, record, version, now_ms):
            self.removals.add(part)

    def read_feed(self, now_ms, count=None):
        """Read changes; all of them without a count."""
        if self._era != self.store.era:
            self._read_all(now_ms)
            return
        changes = self.store.feed[self._read_count :][:count]
        for part, record, version in changes:
            self._apply(part, record, version, now_ms)
        self._read_count += len(changes)

    def record_sound(self, parts):
        """Record that a run has delivered."""
        self.delivered.update(parts)
        self.removals.update(self.book.record_sound(parts))

    def record_crash(self, crash, now_ms):
        """Record that an engine has ended with runs of this gateway."""
        self.seen_crashes.add(crash.crash_id)
        self.book.record_own_crash(crash, now_ms)

    def next_changes(self, now_ms):
        """Return the next write that has to be done, empty if there is none (dict)."""
        for part in sorted(self.removals):
            if self.book.version(part):
                return {part: (None, self.book.version(part))}
            self.removals.discard(part)
        if lost := self.book.unstored_records():
            return self._as_changes(lost)
        for crash in self.book.unstored_crashes():
            return self._as_changes(self.book.plan_crash(crash, now_ms))
        return {}

    def _as_changes(self, records):
        return {r.suspect_id: (r, self.book.version(r.suspect_id)) for r in records}

    def write(self, changes, outcome, now_ms):
        """Write; return whether it is known to have succeeded (bool)."""
        if outcome is WriteOutcome.REFUSED:
            return False
        if outcome is WriteOutcome.LATE:
            self.store.late_writes.append(changes)
            return False
        is_written, rows = self.store.write(changes)
        if outcome is WriteOutcome.ANSWER_LOST:
            return False
        if self._era != self.store.era:
            # Rows that a copy lacks have not been removed.
            self._read_all(now_ms)
            return False
        for part, record, version in rows:
            self._apply(part, record, version, now_ms)
        return is_written

    def flush(self, now_ms):
        """Write all that has to be written."""
        while changes := self.next_changes(now_ms):
            self.write(changes, WriteOutcome.DONE, now_ms)

    def admit(self, parts, outcome, now_ms):
        """Return the Run of a request to send, None if it is refused."""
        record = self.book.find_refused(parts, now_ms)
        if record is None:
            return Run(self, parts)
        if not self.book.may_probe(record, now_ms):
            return None
        claims = self._as_changes(self.book.plan_probe(parts, now_ms))
        if not self.write(claims, outcome, now_ms):
            return None
        return Run(self, parts, tuple(claims))


class ModelSite:
    """Engines and gateways; counts what the machine checks.

    Parameters
    ----------
    crashing : frozenset of str
        Parts that end each engine which begins to answer them.
    book_class : type
    gateway_count, engine_count : int
    """

    def __init__(
        self, crashing, book_class=SuspectBook, gateway_count=3, engine_count=3
    ):
        self.crashing = crashing
        self.now_ms = 1_000.0
        self.store = ModelStore()
        self._book_class = book_class
        self.engines = [ModelEngine(f"i-{n}") for n in range(engine_count)]
        self.gateways = [self._make_gateway() for _ in range(gateway_count)]
        # Parts of the runs that ended with each incarnation.
        self.ended_under = {}
        # Parts whose probe ended with its engine though its prompt crashes none.
        self.failed_probes = set()
        # Crashes whose evidence has been stored and read by all gateways.
        self.known_crashes = set()

    def _make_gateway(self):
        return ModelGateway(self.store, self._book_class(), self.now_ms)

    def restart_gateway(self, index):
        """Replace a gateway by one that knows only the rows."""
        self.gateways[index] = self._make_gateway()

    def send(self, gateway, parts, outcome=WriteOutcome.DONE, engine_index=0):
        """Let a request arrive; return its Run, None if it was not sent."""
        up = [engine for engine in self.engines if engine.is_up]
        run = gateway.admit(parts, outcome, self.now_ms) if up else None
        if run is not None:
            up[engine_index % len(up)].runs.append(run)
        return run

    def advance(self, engine):
        """Let the first run that has not delivered go on to its second event."""
        run = next((run for run in engine.runs if not run.has_delivered), None)
        if run is None or not engine.is_up:
            return
        if self.crashing.intersection(run.parts):
            self.crash(engine)
            return
        run.has_delivered = True
        run.gateway.record_sound(run.parts)

    def crash(self, engine):
        """End the engine's process; its gateways have the evidence."""
        if not engine.is_up:
            return
        runs = [run for run in engine.runs if not run.has_delivered]
        engine.runs, engine.is_up = [], False
        self.ended_under[engine.crash_id] = {part for run in runs for part in run.parts}
        for run in runs:
            if not self.crashing.intersection(run.parts):
                self.failed_probes.update(run.probed_parts)
        for gateway in self.gateways:
            own = [run for run in runs if run.gateway is gateway]
            if own:
                probed = tuple(part for run in own for part in run.probed_parts)
                prompts = tuple(run.parts for run in own)
                crash = Crash(engine.crash_id, prompts, probed)
                gateway.record_crash(crash, self.now_ms)

    def restart_engines(self):
        """Start the engines that have ended."""
        for engine in self.engines:
            if not engine.is_up:
                engine.is_up, engine.start_count = True, engine.start_count + 1

    def synchronize(self):
        """Store all evidence and let all gateways read it."""
        is_settled = False
        while not is_settled:
            is_settled = True
            for gateway in self.gateways:
                gateway.read_feed(self.now_ms)
            for gateway in self.gateways:
                if gateway.next_changes(self.now_ms):
                    is_settled = False
                    gateway.flush(self.now_ms)
        for gateway in self.gateways:
            self.known_crashes.update(gateway.seen_crashes)

    def count_known_crashes(self, part):
        """Return under how many crashes known to all gateways a part was run (int)."""
        return sum(part in self.ended_under[crash] for crash in self.known_crashes)
