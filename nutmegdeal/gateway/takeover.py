"""Replacement of a run whose server sends nothing for a while."""

import gevent

from nutmegdeal.gateway.backend_selection import LoadFirst
from nutmegdeal.gateway.engine_check import Reachability
from nutmegdeal.gateway.exchange import OVERLAP_MAX_MS
from nutmegdeal.gateway.retries import RetryDecision
from nutmegdeal.gateway.silence import OverlapEnd, SilenceHandler
from nutmegdeal.incoming_requests import CallerLeftError
from nutmegdeal.log import get_logger

logger = get_logger(__name__)

# Longest silence of a sound server.
SOUND_SILENCE_MAX_MS = 2_000.0


def decide_overlap(undelivered_ms, is_heard, is_leaving, reachability):
    """Return the OverlapEnd of a silent run and one that has delivered nothing.

    That nobody has heard of its server lately says nothing: reports of a silent server
    fail, too, and messages may be late. A server that leaves may refuse connections
    and finish its runs. While its host does not answer, the platform's limit on two
    runs of one stream does not hold.

    Parameters
    ----------
    undelivered_ms : float
        For how long the caller has received nothing.
    is_heard : bool
        Its placer has just reported that the server responds.
    is_leaving : bool
    reachability : Reachability
    """
    if is_heard:
        return OverlapEnd.FIRST
    if reachability is Reachability.REFUSES and not is_leaving:
        return OverlapEnd.SECOND
    if undelivered_ms >= SOUND_SILENCE_MAX_MS:
        return OverlapEnd.SECOND
    if reachability is Reachability.UNANSWERED:
        return OverlapEnd.BOTH
    return OverlapEnd.FIRST


class Takeover(SilenceHandler):
    """Replaces the silent run of one request as soon as another server can take it.

    Parameters
    ----------
    dispatcher : Dispatcher
        Its `attempt` runs the request elsewhere.
    search : MemberSearch
    retries : RetryDecider
    telemetry : GatewayTelemetry
    clock : Clock
    request : Request
    member : Member
        The server that runs the request.
    progress : AnswerProgress
    guard : CrashGuard
    link : PlacerLink or None
        Counts the uses of the adapter.
    end_check : EndCheck

    Attributes
    ----------
    has_replaced : bool
        Another run has taken over.
    """

    def __init__(
        self,
        dispatcher,
        search,
        retries,
        telemetry,
        clock,
        request,
        member,
        progress,
        guard,
        link,
        end_check,
    ):
        self._dispatcher = dispatcher
        self._search = search
        self._retries = retries
        self._telemetry = telemetry
        self._clock = clock
        self._request = request
        self._member = member
        self._progress = progress
        self._guard = guard
        self._link = link
        self._end_check = end_check
        self._checked = None
        self.has_replaced = False
        self._load_request = None
        self._has_failed = False
        self._silent_since_ms = None

    def replace(self, exchange):
        """Run the request at another server if one can take it now.

        An unexpected error costs the replacement, and not the silent run.

        Returns
        -------
        Attempt or None
            None if the silent run goes on.
        """
        if self._has_failed:
            return None
        try:
            return self._replace(exchange)
        except CallerLeftError:
            raise
        except Exception:
            if exchange.is_abandoned:
                raise
            self._has_failed = True
            logger.exception("replacement_crashed", request=self._request.request_id)
            return None

    def _replace(self, exchange):
        request = self._request
        request.last_event_ms = self._progress.last_byte_ms
        choice = self._search.find_replacement(request, self._may_repeat(exchange))
        self._record_silence(exchange, choice)
        if isinstance(choice, LoadFirst):
            self._request_load(choice.member)
            return None
        if choice is None or self._guard.refuses(request) is not None:
            return None
        if not self._try_spend():
            return None
        if exchange.has_caller_events:
            self._checked = gevent.spawn(self._check_server)
        request.open_run_count += 1
        try:
            attempt = self._dispatcher.attempt(
                request, choice.member, self._progress, exchange
            )
        finally:
            request.open_run_count -= 1
            self._retries.give_back(request)
        if exchange.is_abandoned:
            return attempt
        self._telemetry.record_failed_run(
            request, attempt.member, attempt.outcome, RetryDecision.KEEP
        )
        return None

    def _check_server(self):
        """Return the Reachability of the silent server."""
        try:
            return self._end_check.find_reachability(self._member)
        except Exception:
            logger.exception("server_check_crashed", backend=self._member.backend_id)
            return Reachability.UNKNOWN

    def _may_repeat(self, exchange):
        """Return whether a server that was superseded may run the request again.

        That is of use only if its run can outlast the silent one.
        """
        if self._member.is_heard(self._clock.monotonic_ms()):
            return False
        return exchange.undelivered_ms() >= SOUND_SILENCE_MAX_MS - OVERLAP_MAX_MS

    def decide_overlap(self, exchange):
        """Return the OverlapEnd, see the function `decide_overlap`.

        Runs that have not begun to deliver may overlap until the deadline.
        """
        if self._checked is None:
            return OverlapEnd.BOTH
        member = self._member
        is_heard = member.is_heard(self._clock.monotonic_ms())
        # The check has a shorter timeout than the overlap.
        reachability = self._checked.get()
        decision = decide_overlap(
            exchange.undelivered_ms(),
            is_heard,
            member.availability.is_leaving,
            reachability,
        )
        self._telemetry.record_overlap_ended(
            self._request, member, exchange, is_heard, reachability, decision
        )
        return decision

    def record_abandoned(self):
        """Record that the silent run has ended, as another has taken over."""
        self.has_replaced = True
        if self._link is not None:
            self._link.record_ended(self._request.adapter)

    def _try_spend(self):
        return self._retries.try_replace(self._request, self._clock.monotonic_ms())

    def _record_silence(self, exchange, choice):
        """Record the first search since the server last sent something."""
        now_ms = self._clock.monotonic_ms()
        since_ms = round(now_ms - exchange.silent_ms())
        if since_ms == self._silent_since_ms:
            return
        self._silent_since_ms = since_ms
        self._telemetry.record_silent_run(
            self._request, self._member, exchange.silent_ms(), choice
        )
        if not exchange.has_response_started:
            self._dispatcher.record_unresponsive(self._member, now_ms)

    def _request_load(self, member):
        """Ask for the adapter once; the search finds the server that has loaded it."""
        if self._load_request is None:
            self._load_request = self._search.request_load(self._request, member)

    def close(self):
        """Withdraw the demand for the adapter."""
        if self._load_request is not None:
            self._load_request.cancel()
            self._load_request = None
