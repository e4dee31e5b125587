"""Checks of streams with engines of several software versions."""

from nutmegdeal.fakes.endless_answers import ENDLESS_EVENT_TEXT
from nutmegdeal.fakes.stream_caller import decode_events, find_versions

# From so many streams on that are taken up, their share that goes on has to be at least
# so many times the share of new streams that begin.
TAKEN_UP_MIN = 12
GONE_ON_SHARE_MIN = 0.5
# A fault may still affect streams for this long after its end.
FAULT_EFFECT_S = 4.0


def find_stream_violations(records, streams, faults):
    """Return a description of each violated rule (list of str).

    Parameters
    ----------
    records : list of CallRecord
    streams : list of TakenStream
    faults : list of FaultRecord
    """
    return [
        *_find_mixed(records, streams),
        *_find_disordered(streams),
        *_find_lost(streams, faults),
    ]


def _find_mixed(records, streams):
    answers = {record.request_id: record.body or b"" for record in records}
    mixed = {name: find_versions(decode_events(body)) for name, body in answers.items()}
    mixed.update(
        (stream.caller.tries[0].request_id, stream.caller.versions)
        for stream in streams
    )
    ids = [name for name, versions in mixed.items() if len(versions) > 1]
    if ids:
        yield f"{len(ids)} streams hold events of two software versions: {ids[:20]}"


def _find_disordered(streams):
    for stream in streams:
        tries = stream.caller.tries
        if any(ENDLESS_EVENT_TEXT in item.body for item in tries):
            continue
        numbers = [event.number for event in stream.caller.events]
        if numbers != list(range(len(numbers))):
            yield f"{tries[0].request_id} has the events {numbers}"


def _find_lost(streams, faults):
    """Compare streams that are taken up with new ones, beside no other fault."""
    sound = [stream for stream in streams if not _overlaps(stream, faults)]
    taken_up = [
        item
        for stream in sound
        for item, counts in zip(stream.caller.tries, stream.peer_counts, strict=True)
        if item in stream.taken_up and min(counts) >= 2
    ]
    gone_on = [item for item in taken_up if item.status_code == 200]
    begun_count = sum(stream.has_begun for stream in sound)
    if len(taken_up) < TAKEN_UP_MIN:
        return
    share = len(gone_on) / len(taken_up)
    begun_share = begun_count / len(sound)
    if share < GONE_ON_SHARE_MIN * begun_share:
        yield (
            f"{len(gone_on)} of {len(taken_up)} streams that were taken up went on, "
            f"{begun_count} of {len(sound)} began"
        )


def _overlaps(stream, faults):
    tries = stream.caller.tries
    return any(
        fault.started_s <= tries[-1].ended_s
        and tries[0].started_s <= fault.ended_s + FAULT_EFFECT_S
        for fault in faults
        if not fault.is_planned
    )
