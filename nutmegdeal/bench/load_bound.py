"""Lower bound on the loads of a run: Belady's optimal replacement, computed offline."""

import collections

import attrs

NEVER = float("inf")


@attrs.frozen
class EngineDispatch:
    """Dispatch of one request to an engine.

    Parameters
    ----------
    at_ms : float
    adapter : str
    """

    at_ms: float
    adapter: str


def count_fewest_loads(dispatches, slot_count, from_ms):
    """Return the smallest number of loads that serve a sequence of dispatches.

    Parameters
    ----------
    dispatches : sequence of EngineDispatch
        Dispatches of one engine in order of time.
    slot_count : int
    from_ms : float
        Loads before this time are not counted.
    """
    next_positions = _next_positions(dispatches)
    resident, load_count = {}, 0
    for position, dispatch in enumerate(dispatches):
        if dispatch.adapter not in resident:
            load_count += dispatch.at_ms >= from_ms
            if len(resident) >= slot_count:
                del resident[max(resident, key=resident.__getitem__)]
        resident[dispatch.adapter] = next_positions[position]
    return load_count


def _next_positions(dispatches):
    """Return for each dispatch the position of the next one of its adapter."""
    next_position_of = collections.defaultdict(lambda: NEVER)
    positions = []
    for position in reversed(range(len(dispatches))):
        adapter = dispatches[position].adapter
        positions.append(next_position_of[adapter])
        next_position_of[adapter] = position
    return positions[::-1]
