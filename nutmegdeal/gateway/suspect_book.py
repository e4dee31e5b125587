"""What one gateway knows of prompt parts: the sound ones and the suspects.

Points in time are on the store's clock, and given by the caller.
"""

import collections

from nutmegdeal.gateway import crash_blame
from nutmegdeal.gateway.crash_blame import Crash, SuspectRecord, merge_records

__all__ = ["Crash", "SuspectBook", "SuspectRecord"]

# Time for which a suspect is kept without a new crash.
SUSPECT_KEPT_MS = 3_600_000.0
SOUND_PARTS_MAX = 20_000
SUSPECTS_MAX = 256
# Most rows kept here; the store may hold more than SUSPECTS_MAX until they are removed.
ROWS_KEPT_MAX = 2 * SUSPECTS_MAX
# Most crashes seen here that wait to be stored.
OWN_CRASHES_MAX = 64
# Most crashes remembered as settled by the removal of a row.
SETTLED_CRASHES_MAX = 2_048


class SuspectBook:
    """Sound parts, rows of the store, and crashes that are not stored yet.

    A refused part stays refused until a run with it delivers or its row is removed.
    After `refused_until_ms` one request with it may be sent as a probe.
    """

    def __init__(self):
        self._sound = collections.OrderedDict()
        self._rows = {}
        self._versions = {}
        # Records that the store lost when it returned from a copy.
        self._lost = {}
        self._own_crashes = collections.OrderedDict()
        # What the crashes in `_own_crashes` change; None until it is decided again.
        self._own_records = {}
        self._settled = collections.OrderedDict()

    def record_sound(self, parts):
        """Record that a run with these parts has delivered.

        Returns
        -------
        tuple of str
            The parts whose stored record has to be removed, until it is.
        """
        is_new = False
        for part in parts:
            is_new |= part not in self._sound
            self._sound[part] = None
            self._sound.move_to_end(part)
            self._lost.pop(part, None)
        _drop_oldest(self._sound, SOUND_PARTS_MAX)
        if is_new:
            self._own_records = None
        return tuple(part for part in dict.fromkeys(parts) if part in self._rows)

    def unknown_parts(self, parts):
        """Return the parts that are not known to be sound, in order (tuple of str)."""
        for part in parts:
            if part in self._sound:
                self._sound.move_to_end(part)
        return tuple(part for part in parts if part not in self._sound)

    def plan_crash(self, crash, now_ms):
        """Return the records to write for a crash (tuple of SuspectRecord).

        The write is conditional on the versions of all of them. Empty if the store
        needs no write.

        Parameters
        ----------
        crash : Crash
        now_ms : float
        """
        return self._plan_crash(crash, now_ms, {}, self._explained_ids())

    def record_own_crash(self, crash, now_ms):
        """Let a crash count for this gateway until it is stored.

        Parameters
        ----------
        crash : Crash
        now_ms : float
        """
        self._own_crashes.setdefault(crash, now_ms)
        _drop_oldest(self._own_crashes, OWN_CRASHES_MAX)
        self._own_records = None

    def unstored_crashes(self):
        """Return the crashes recorded here that are not stored (tuple of Crash)."""
        self._decide_own_records()
        return tuple(self._own_crashes)

    def _decide_own_records(self):
        if self._own_records is not None:
            return
        self._own_records = own_records = {}
        if not self._own_crashes:
            return
        explained_ids = self._explained_ids()
        for crash, seen_ms in list(self._own_crashes.items()):
            if not self._plan_crash(crash, seen_ms, {}, explained_ids):
                del self._own_crashes[crash]
        for crash, seen_ms in self._own_crashes.items():
            own_ids = _list_explained_ids(own_records.values())
            for record in self._plan_crash(
                crash, seen_ms, own_records, explained_ids | own_ids
            ):
                own_records[record.suspect_id] = record

    def _explained_ids(self):
        records = (*self._rows.values(), *self._lost.values())
        return _list_explained_ids(
            r for r in records if r.suspect_id not in self._sound
        )

    def _plan_crash(self, crash, now_ms, own_records, explained_ids):
        """Return the records that change if these own records are in force."""
        prompts = [self.unknown_parts(prompt) for prompt in crash.prompts]
        known = {
            part: own_records.get(part)
            or self._find_stored(part)
            or SuspectRecord(part)
            for prompt in prompts
            for part in prompt
            if (part, crash.crash_id) not in self._settled
        }
        is_explained = crash.crash_id in explained_ids or any(
            record.is_refused for record in known.values()
        )
        new_ids = {r.suspect_id for r in known.values() if r.is_new_request}
        if new_ids:
            prompts = [[p for p in prompt if p not in new_ids] for prompt in prompts]
        if is_explained:
            known = {part: known[part] for part in known.keys() - new_ids}
        return crash_blame.plan_records(crash, prompts, known, is_explained, now_ms)

    @property
    def has_suspects(self):
        """Return whether anything is suspected (bool)."""
        return bool(self._rows or self._lost or self._own_crashes)

    def is_suspect(self, suspect_id):
        """Return whether a server has ended under a suspect (bool)."""
        if not self.has_suspects:
            return False
        self._decide_own_records()
        return self._find_known(suspect_id) is not None

    def find_refused(self, parts, now_ms):
        """Return the SuspectRecord of a refused part, None if the request may be sent.

        Of several the one that may be probed last. `may_probe` tells whether the
        request may be sent as a probe.
        """
        refused = self._list_refused(parts)
        return max(
            refused, key=lambda r: (r.refused_until_ms, r.suspect_id), default=None
        )

    def _list_refused(self, parts):
        self._decide_own_records()
        known = map(self._find_known, dict.fromkeys(self.unknown_parts(parts)))
        return [record for record in known if record and record.is_refused]

    def may_probe(self, record, now_ms):
        """Return whether a request with a refused part may be sent as a probe."""
        return now_ms >= record.refused_until_ms

    def plan_probe(self, parts, now_ms):
        """Return the records that claim a probe (tuple of SuspectRecord).

        The gateway whose conditional write of all of them succeeds sends the probe.

        Parameters
        ----------
        parts : tuple of str
            All shared parts of the request; a probe runs with all its refused parts.
        now_ms : float
        """
        refused = self._list_refused(parts)
        return tuple(crash_blame.plan_claim(record, now_ms) for record in refused)

    def plan_unused_probe(self, parts, now_ms):
        """Return the records after a claim whose probe was not run."""
        refused = self._list_refused(parts)
        return tuple(
            crash_blame.plan_unused_claim(record, now_ms) for record in refused
        )

    def apply(self, part, record, version, now_ms):
        """Apply a row that was read, or the result of a write.

        Parameters
        ----------
        part : str
        record : SuspectRecord or None
            None if the row was removed.
        version : int
        now_ms : float

        Returns
        -------
        bool
            Whether the part is known here to be sound and the row has to be removed.
        """
        if 0 < version < self.version(part):
            # The gateway has written the row since.
            return part in self._sound
        if record is None:
            self._apply_removal(part)
        else:
            self._rows[part], self._versions[part] = record, version
            if part in self._lost and record.covers(self._lost[part]):
                del self._lost[part]
            for removed in _trim(self._rows):
                del self._versions[removed]
        self._own_records = None
        return record is not None and part in self._sound

    def _apply_removal(self, part):
        self._versions.pop(part, None)
        removed = merge_records(self._rows.pop(part, None), self._lost.pop(part, None))
        if removed is None:
            return
        for crash_id in removed.crash_ids:
            self._settled[part, crash_id] = None
        _drop_oldest(self._settled, SETTLED_CRASHES_MAX)

    def version(self, part):
        """Return the version of a part's row, 0 if there is none (int)."""
        return self._versions.get(part, 0)

    def stored_parts(self):
        """Return the parts that have a row (tuple of str)."""
        return tuple(self._rows)

    def missing_records(self, listed):
        """Return what the store lost when it returned from a copy.

        What was stored counts as lost from now on, and still acts here. The caller
        applies the rows of the copy next, and writes these records under its versions.

        Parameters
        ----------
        listed : dict of str to SuspectRecord
            The rows of the copy.

        Returns
        -------
        tuple of SuspectRecord
        """
        parts = {*self._rows, *self._lost} - self._sound.keys()
        self._lost = {part: self._find_stored(part) for part in sorted(parts)}
        _trim(self._lost)
        self._rows, self._versions = {}, {}
        self._own_records = None
        return tuple(
            merge_records(record, listed.get(part))
            for part, record in self._lost.items()
            if part not in listed or not listed[part].covers(record)
        )

    def unstored_records(self):
        """Return what `missing_records` found and is still not stored."""
        return tuple(self._find_stored(part) for part in self._lost)

    def expired_parts(self, now_ms):
        """Return the suspects whose rows have to be removed (tuple of str).

        They had no new crash for long, or are the oldest of too many.
        """
        oldest_first = sorted(self._rows.values(), key=_removal_order)
        excess_count = len(oldest_first) - SUSPECTS_MAX
        return tuple(
            record.suspect_id
            for place, record in enumerate(oldest_first)
            if not record.is_refused
            and (place < excess_count or record.updated_ms + SUSPECT_KEPT_MS <= now_ms)
        )

    def _find_stored(self, part):
        return merge_records(self._rows.get(part), self._lost.get(part))

    def _find_known(self, part):
        return self._own_records.get(part) or self._find_stored(part)


def _list_explained_ids(records):
    """Return the crashes that refused parts explain (set of str)."""
    return {crash_id for r in records if r.is_refused for crash_id in r.crashes}


def _removal_order(record):
    return (record.is_refused, record.updated_ms, record.suspect_id)


def _trim(records):
    """Remove the oldest records if there are too many; return their parts."""
    excess_count = max(len(records) - ROWS_KEPT_MAX, 0)
    if not excess_count:
        return []
    oldest = sorted(records.values(), key=_removal_order)[:excess_count]
    for record in oldest:
        del records[record.suspect_id]
    return [record.suspect_id for record in oldest]


def _drop_oldest(ordered, count_max):
    while len(ordered) > count_max:
        ordered.popitem(last=False)
