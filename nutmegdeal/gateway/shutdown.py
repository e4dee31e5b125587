"""Which requests a gateway takes and sends between SIGTERM and its end.

Every request that was taken gets its final answer while there is time to send it.
"""

import collections
import statistics

import attrs
import gevent

from nutmegdeal.incoming_requests import GraceEndedError
from nutmegdeal.site_configuration import RouteKind

# Time after SIGTERM in which new connections are accepted: the platform sends them
# until two readiness checks, a second apart, have failed.
ACCEPT_AFTER_TERM_MS = 2_600.0
# Requests that arrive later than this after SIGTERM, on connections that were kept, are
# refused: they might not be finished in time.
TAKE_AFTER_TERM_MS = 3_000.0
# Limits on both as shares of the grace time, for a short one.
ACCEPT_SHARE_MAX = 0.33
TAKE_SHARE_MAX = 0.38
# The process ends this long before SIGKILL.
KILL_MARGIN_MS = 300.0
# Requests in progress get their final answer this long before the process ends.
ANSWER_MARGIN_MS = 200.0
# Nothing is sent to a server later than this before that.
SEND_MARGIN_MS = 400.0
# Durations that are kept of one route, and routes of which they are kept.
DURATIONS_MAX = 32
ROUTES_MAX = 1_024
# Duration that is expected on a route without answers, as a share of its target.
UNKNOWN_TARGET_SHARE = 0.5
# Ends of requests that tell how long answers take; a request that timed out tells the
# least.
MEASURED_ENDS = ("completed", "timed_out")
# Reason of a refusal: the request has not been sent, and the process ends.
STOPPING = "stopping"
# Reason of the end of a request whose server had not answered when the process ended.
SHUTDOWN = "shutdown"


@attrs.frozen
class ShutdownTimes:
    """Points in time of one shutdown, on the monotonic clock.

    Parameters
    ----------
    accept_until_ms : float
        Until when new connections are accepted.
    take_until_ms : float
        Until when a request may arrive.
    send_until_ms : float
        Until when requests are sent to servers.
    answer_until_ms : float
        Until when servers may answer.
    exit_ms : float
        When the process ends.
    """

    accept_until_ms: float
    take_until_ms: float
    send_until_ms: float
    answer_until_ms: float
    exit_ms: float


def plan_shutdown(term_ms, grace_ms):
    """Return the ShutdownTimes of a process.

    Parameters
    ----------
    term_ms : float
        When SIGTERM came, on the monotonic clock.
    grace_ms : float
        Time from SIGTERM to SIGKILL.
    """
    exit_ms = term_ms + grace_ms - KILL_MARGIN_MS
    answer_until_ms = exit_ms - ANSWER_MARGIN_MS
    return ShutdownTimes(
        accept_until_ms=term_ms
        + min(ACCEPT_AFTER_TERM_MS, ACCEPT_SHARE_MAX * grace_ms),
        take_until_ms=term_ms + min(TAKE_AFTER_TERM_MS, TAKE_SHARE_MAX * grace_ms),
        send_until_ms=answer_until_ms - SEND_MARGIN_MS,
        answer_until_ms=answer_until_ms,
        exit_ms=exit_ms,
    )


class AnswerDurations:
    """How long the last answers on each route took, from sending to the whole answer.

    Routes that were not used for the longest time are forgotten first.
    """

    def __init__(self):
        self._by_route = collections.OrderedDict()

    def record(self, route_name, taken_ms):
        """Record the duration of an answer, or how long one was waited for in vain."""
        durations = self._by_route.pop(route_name, None)
        if durations is None:
            durations = collections.deque(maxlen=DURATIONS_MAX)
        durations.append(taken_ms)
        self._by_route[route_name] = durations
        if len(self._by_route) > ROUTES_MAX:
            self._by_route.popitem(last=False)

    def median_ms(self, route_name):
        """Return the median (float), None for a route without answers."""
        durations = self._by_route.get(route_name)
        return statistics.median(durations) if durations else None

    def least_ms(self, route_name):
        """Return the shortest duration (float), None for a route without answers."""
        durations = self._by_route.get(route_name)
        return min(durations) if durations else None


def find_send_until_ms(request, times, durations):
    """Return until when a request may be sent to a server (float).

    A request that may run only once is sent while most such answers would be whole
    before the process ends, others while any would: their callers can repeat or resume
    them. Those whose deadline comes first are answered in any case.

    Parameters
    ----------
    request : Request
    times : ShutdownTimes
    durations : AnswerDurations
    """
    route = request.route
    if request.caller_deadline_ms <= times.answer_until_ms:
        return times.send_until_ms
    if route.kind is RouteKind.STREAM and route.is_resumable:
        return times.send_until_ms
    if route.is_repeatable:
        needed_ms = durations.least_ms(route.name) or 0.0
    else:
        unknown_ms = UNKNOWN_TARGET_SHARE * route.target_ms
        needed_ms = durations.median_ms(route.name) or unknown_ms
    return min(times.send_until_ms, times.answer_until_ms - needed_ms)


class Shutdown:
    """The shutdown of a gateway, and the requests that it has to end.

    Attributes
    ----------
    times : ShutdownTimes or None
        None before SIGTERM.
    durations : AnswerDurations
    ended_count : int
        Requests whose servers had not answered by the end of the grace time.
    cut_count : int
        Those of them whose answers had begun and were broken off.
    """

    def __init__(self):
        self.times = None
        self.durations = AnswerDurations()
        self.ended_count = 0
        self.cut_count = 0
        self._open = {}

    def begin(self, times):
        """Bound the requests in progress; a second signal changes nothing."""
        if self.times is not None:
            return
        self.times = times
        for request, _ in self._open.values():
            self._bound(request)

    def _bound(self, request):
        request.deadline_ms = min(request.deadline_ms, self.times.answer_until_ms)
        request.send_until_ms = find_send_until_ms(request, self.times, self.durations)

    def admit(self, request, now_ms):
        """Return whether a request is taken, and bound it if the process ends.

        Parameters
        ----------
        request : Request
        now_ms : float
        """
        if self.times is None:
            return True
        self._bound(request)
        is_late = request.incoming.arrived_ms > self.times.take_until_ms
        return not is_late and now_ms < request.send_until_ms

    def track(self, request):
        """Record that the current greenlet serves a request."""
        if self.times is not None:
            self._bound(request)
        self._open[id(request)] = (request, gevent.getcurrent())

    def record_ended(self, request, ending, now_ms):
        """Record that a request has ended, and how long its server took.

        Parameters
        ----------
        request : Request
        ending : Ending
        now_ms : float
        """
        self._open.pop(id(request), None)
        if ending.reason == SHUTDOWN:
            self.ended_count += 1
            self.cut_count += ending.name == "cut"
        if ending.name in MEASURED_ENDS:
            waited_ms = request.waited_ms + request.paced_ms
            taken_ms = now_ms - request.incoming.arrived_ms - waited_ms
            self.durations.record(request.route.name, taken_ms)

    def end_requests(self):
        """Raise GraceEndedError in the greenlets of all requests in progress.

        Returns
        -------
        int
            Number of these requests.
        """
        for key in list(self._open):
            gevent.get_hub().loop.run_callback(self._throw, key)
        return len(self._open)

    def _throw(self, key):
        # Runs in the hub, so that the greenlet still serves this request.
        _, greenlet = self._open.pop(key, (None, None))
        if greenlet is not None and not greenlet.dead:
            greenlet.throw(GraceEndedError)
