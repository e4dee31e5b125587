"""Binary search for an entry's first segment with events of a request."""

from nutmegdeal.errors import Step


def request_number(request_id):
    """Return the number that the entry gave to a request, 0 if the id has none."""
    try:
        return int(request_id.rpartition("-")[2], base=16)
    except ValueError:
        return 0


def find_highest_received(segment):
    """Return the highest number of a request received in a Segment, or None."""
    if segment is None:
        return None
    numbers = [
        request_number(event.request_id)
        for event in segment.events
        if event.step is Step.RECEIVE
    ]
    return max(numbers, default=None)


def find_first_segment(count, number, read_segment):
    """Return the index of the first segment that may hold events of a request.

    An entry numbers requests in the order in which it receives them. Segments in which
    no request was received are skipped.

    Parameters
    ----------
    count : int
        Number of segments.
    number : int
        Number of the request.
    read_segment : callable
        Takes an index; returns a Segment, or None if it cannot be read.
    """
    start, low, high = 0, 0, count - 1
    while low <= high:
        middle = (low + high) // 2
        probe, received = middle, find_highest_received(read_segment(middle))
        while received is None and probe < high:
            probe += 1
            received = find_highest_received(read_segment(probe))
        if received is None or received >= number:
            high = middle - 1
            continue
        start, low = probe, probe + 1
    return start
