"""Lower bound of the loads of a run: Belady's choice with the future known."""

import collections

import attrs

NEVER = float("inf")


@attrs.frozen
class Use:
    """One dispatch of a request at an engine.

    Parameters
    ----------
    at_ms : float
    adapter : str
    """

    at_ms: float
    adapter: str


def count_fewest_loads(uses, slot_count, from_ms):
    """Return the fewest loads that serve a sequence of uses.

    Parameters
    ----------
    uses : sequence of Use
        Of one engine in order of time.
    slot_count : int
    from_ms : float
        Loads before it are not counted.
    """
    next_positions = _next_positions(uses)
    held, load_count = {}, 0
    for position, use in enumerate(uses):
        if use.adapter not in held:
            load_count += use.at_ms >= from_ms
            if len(held) >= slot_count:
                del held[max(held, key=held.__getitem__)]
        held[use.adapter] = next_positions[position]
    return load_count


def _next_positions(uses):
    """Return for each use the position of its adapter's next one."""
    next_of = collections.defaultdict(lambda: NEVER)
    positions = []
    for position in reversed(range(len(uses))):
        adapter = uses[position].adapter
        positions.append(next_of[adapter])
        next_of[adapter] = position
    return positions[::-1]
