"""Which suspects are to blame for the crash of a server, and for how long.

A suspect is a shared part of prompts, or the content of a whole request. Nearly all
parts are known to be sound after a while, but a request is nearly always new: each
crash makes suspects of all requests that ran there. So a request counts only from its
second crash on.

Points in time are on the store's clock, and given by the caller.
"""

import attrs

# Crashes after which one part, the likeliest, is refused.
REFUSED_CRASHES = 2
# Crashes after which a part is refused although another part explains some of them.
CERTAIN_CRASHES = 4
# Most crashes of each kind kept of one part.
CRASHES_KEPT_MAX = 16
FIRST_REFUSAL_MS = 5_000.0
# Refusal after a probe that crashed its engine.
REFUSAL_MS = 600_000.0
# Time for which the claim of a probe extends the refusal.
PROBE_MS = 5_000.0
# Claims without a result after which a claim lasts as long as after a failed probe.
UNANSWERED_PROBES_MAX = 1


# Prompt parts have no colon in their ids.
_REQUEST_PREFIX = "request:"


def build_request_id(content_digest):
    """Return the id of a request as a suspect (str)."""
    return f"{_REQUEST_PREFIX}{content_digest}"


def is_request(suspect_id):
    """Return whether a suspect is a whole request, and not a prompt part."""
    return suspect_id.startswith(_REQUEST_PREFIX)


@attrs.frozen
class SuspectRecord:
    """What the store holds of one suspect.

    Parameters
    ----------
    suspect_id : str
    crashes : tuple of str
        Incarnations of engines that ended under it, sorted.
    refused_until_ms : float
        0.0 while it is only a suspect. After that time it may be probed.
    updated_ms : float
        Time of the last crash or claim.
    explained : tuple of str
        Further incarnations that ended under it and under a refused part, sorted.
    probe_count : int
        Claims of probes since the last failed probe.
    """

    suspect_id: str
    crashes: tuple[str, ...] = ()
    refused_until_ms: float = 0.0
    updated_ms: float = 0.0
    explained: tuple[str, ...] = ()
    probe_count: int = 0

    @property
    def is_refused(self):
        """Return whether requests with the part are refused, except probes (bool)."""
        return self.refused_until_ms > 0.0

    @property
    def crash_ids(self):
        """Return all incarnations that ended under the part (frozenset of str)."""
        return frozenset((*self.crashes, *self.explained))

    @property
    def is_full(self):
        """Return whether no more crashes are kept, except failed probes (bool)."""
        return CRASHES_KEPT_MAX in (len(self.crashes), len(self.explained))

    @property
    def is_new_request(self):
        """Return whether it is a request without any crash so far (bool)."""
        return is_request(self.suspect_id) and not self.crash_ids

    def covers(self, other):
        """Return whether this record says at least what another says (bool)."""
        return (
            (self.is_full or self.crash_ids >= other.crash_ids)
            and self.refused_until_ms >= other.refused_until_ms
            and self.probe_count >= other.probe_count
        )


@attrs.frozen
class Crash:
    """One crash as one gateway saw it.

    Parameters
    ----------
    crash_id : str
        Id and start of the incarnation that ended.
    prompts : tuple of tuple of str
        Shared parts, in order, of each run that ended there before its second event.
    probed_parts : tuple of str
        The parts that one of these runs probed; empty if none was a probe.
    """

    crash_id: str
    prompts: tuple[tuple[str, ...], ...]
    probed_parts: tuple[str, ...] = ()


def _keep(crash_ids):
    return tuple(sorted(crash_ids)[:CRASHES_KEPT_MAX])


def merge_records(first, second):
    """Return the SuspectRecord of all that two say; either may be None."""
    if first is None or second is None:
        return first or second
    crashes = {*first.crashes, *second.crashes}
    return SuspectRecord(
        first.suspect_id,
        _keep(crashes),
        max(first.refused_until_ms, second.refused_until_ms),
        max(first.updated_ms, second.updated_ms),
        _keep({*first.explained, *second.explained} - crashes),
        max(first.probe_count, second.probe_count),
    )


def plan_records(crash, prompts, known, is_explained, now_ms):
    """Return the records that change with a crash (tuple of SuspectRecord).

    One suspect is blamed: of those with enough crashes the one with most; among equals
    a part before a request, and the last in its prompt, which fewer requests share. A
    crash that a refused part explains
    counts for no other part until that has `CERTAIN_CRASHES`: a part that is always
    beside refused ones has to be found too.

    Only a probe that crashed its engine leads to the long refusal, whatever the number
    of crashes: all engines may end at once, or under many runs that were on their way
    when the refusal began, before a sound part had a chance to deliver. Nor does a
    probe beside other parts that may have crashed the engine; it has no result.

    Parameters
    ----------
    crash : Crash
    prompts : list of tuple of str
        Those of its suspects that are not known to be sound, for each run, without
        new requests.
    known : dict of str to SuspectRecord
        The records of these parts.
    is_explained : bool
        Whether a refused part, of these or of another gateway's runs, explains it.
    now_ms : float
    """
    places = {}
    for prompt in prompts:
        for place, part in enumerate(prompt):
            places[part] = max(place, places.get(part, 0))
    is_conclusive = len(places) == 1 and places.keys() == set(crash.probed_parts)
    suspects = [
        _add_crash(record, crash.crash_id, is_explained, now_ms)
        for record in known.values()
        if crash.crash_id not in record.crash_ids
        and (is_conclusive or not record.is_full)
    ]
    blamed = None if is_explained else _find_blamed(suspects, places)
    return tuple(
        _decide_refusal(record, record is blamed, is_conclusive, now_ms)
        for record in suspects
    )


def _add_crash(record, crash_id, is_explained, now_ms):
    name = "explained" if is_explained and not record.is_refused else "crashes"
    kept = getattr(record, name)[: CRASHES_KEPT_MAX - 1]
    crash_ids = tuple(sorted((*kept, crash_id)))
    return attrs.evolve(record, updated_ms=now_ms, **{name: crash_ids})


def _find_blamed(suspects, places):
    counted = [record for record in suspects if len(record.crashes) >= REFUSED_CRASHES]
    return max(
        counted,
        key=lambda r: (
            len(r.crashes),
            not is_request(r.suspect_id),
            places[r.suspect_id],
            r.suspect_id,
        ),
        default=None,
    )


def _decide_refusal(record, is_blamed, is_failed_probe, now_ms):
    if is_failed_probe and record.is_refused:
        until_ms = now_ms + REFUSAL_MS
        return attrs.evolve(record, refused_until_ms=until_ms, probe_count=0)
    is_certain = len(record.crash_ids) >= CERTAIN_CRASHES
    if record.is_refused or not (is_blamed or is_certain):
        return record
    return attrs.evolve(record, refused_until_ms=now_ms + FIRST_REFUSAL_MS)


def plan_claim(record, now_ms):
    """Return the SuspectRecord that claims a probe of its part.

    After claims without a result, a claim lasts as long as the refusal after a
    failed probe.
    """
    is_last = record.probe_count >= UNANSWERED_PROBES_MAX
    return attrs.evolve(
        record,
        refused_until_ms=now_ms + (REFUSAL_MS if is_last else PROBE_MS),
        updated_ms=now_ms,
        probe_count=record.probe_count + 1,
    )


def plan_unused_claim(record, now_ms):
    """Return the SuspectRecord after a claim whose probe was not run."""
    probe_count = max(record.probe_count - 1, 0)
    return attrs.evolve(record, refused_until_ms=now_ms, probe_count=probe_count)
