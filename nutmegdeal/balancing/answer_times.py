"""What one answer says of the load and the speed of its server."""

import statistics


class AnswerTimes:
    """Records the load and the times of one run at a server.

    Parameters
    ----------
    member : Member
    route_name : str
        Times are compared between servers within a route.
    """

    def __init__(self, member, route_name):
        self._member = member
        self._route_name = route_name
        self._load = None

    def record_load(self, load, now_ms):
        """Record the ServerLoad in the head of an answer, None if there is none."""
        if load is None:
            return
        member, self._load = self._member, load
        # The placer of an engine reports its load more often.
        if not member.is_linked:
            member.record_load(load.running_count, load.waiting_count, now_ms)
        if load.work_time_percent is not None:
            member.speed.record_stated(load.work_time_percent, now_ms)

    def record_first_event(self, taken_ms, now_ms):
        """Record the time from sending a request to the first event of its stream."""
        self._member.record_first_event(taken_ms)
        self._record("first_event", taken_ms, now_ms)

    def record_whole(self, taken_ms, now_ms):
        """Record the time from sending a request to the end of a plain answer."""
        self._record("whole", taken_ms, now_ms)
        self._member.speed.record_run(taken_ms)

    def record_stream(self, pauses_ms, taken_ms, now_ms):
        """Record the pauses between the events of a whole stream, and its duration.

        A caller that reads slowly delays some events, but seldom the median one.
        """
        if not self._member.speed.service.is_stated:
            return
        if pauses_ms:
            self._record("pause", statistics.median(pauses_ms), now_ms)
        self._member.speed.record_run(taken_ms)

    def _record(self, part, taken_ms, now_ms):
        load, speed = self._load, self._member.speed
        if load is None or not load.slots or not speed.service.is_stated:
            return
        load_share = (load.running_count + load.waiting_count) / load.slots
        speed.record_answer((self._route_name, part), taken_ms, load_share, now_ms)
