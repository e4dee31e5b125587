"""Runs requests at backend servers, over pooled connections."""

import attrs
import h11

from nutmegdeal.gateway.exchange import EXCHANGE_ERRORS, Exchange
from nutmegdeal.gateway.requests import RunFate, RunOutcome
from nutmegdeal.gateway.run_versions import VersionExpiredError
from nutmegdeal.gateway.silence import OvertakenError
from nutmegdeal.http_connections import ConnectError

# Timeout for a connection to a backend server, which takes 1 to 3 ms. After it another
# server can be tried, since nothing was sent.
CONNECT_WITHIN_MS = 250.0
# Longest idle time of a connection that is reused for a request that may run only once.
# If the server has dropped the connection without notice, it is not known whether the
# request has run.
NON_REPEATABLE_IDLE_MAX_MS = 50.0


class DirectTransport:
    """Runs requests over direct connections to the backend servers.

    Parameters
    ----------
    pool : ConnectionPool
    clock : Clock
    membership : Membership
        Gets what the servers' answers say of their availability.
    run_versions : RunVersions
    """

    def __init__(self, pool, clock, membership, run_versions):
        self._pool = pool
        self._clock = clock
        self._membership = membership
        self._run_versions = run_versions

    def run(self, request, member, progress, silence_handler=None, rival=None):
        """Run a request once.

        Parameters
        ----------
        request : Request
        member : Member
        progress : AnswerProgress
        silence_handler : SilenceHandler or None
            None if no other server may run the request.
        rival : Exchange or None
            Silent exchange of the same request that this run may replace.

        Returns
        -------
        RunOutcome
        """
        now_ms = self._clock.monotonic_ms()
        remaining_ms = min(request.deadline_ms, request.send_until_ms) - now_ms
        if remaining_ms <= 0:
            return RunOutcome(RunFate.NOT_SENT, "the deadline passed")
        if not member.availability.try_use_slot(now_ms):
            return RunOutcome(RunFate.NOT_SENT, "the server's limit is used up")
        try:
            connection = self._pool.acquire(
                member.backend.address,
                min(CONNECT_WITHIN_MS, remaining_ms),
                _idle_max_ms(request),
                request.request_id,
            )
        except ConnectError as error:
            return RunOutcome(RunFate.NOT_SENT, str(error), is_unresponsive=True)
        if self._clock.monotonic_ms() >= request.send_until_ms:
            connection.close()
            return RunOutcome(RunFate.NOT_SENT, "the gateway stops")
        # Not before: opening a connection may take a while.
        version = self._run_versions.choose(request, member)
        if version is None:
            connection.close()
            detail = "the server's adapter version is out of date"
            return RunOutcome(RunFate.NOT_SENT, detail, is_version_expired=True)
        member.record_sent(now_ms)
        request.unsent_retry_ms = None
        exchange = Exchange(
            self._clock,
            connection,
            request,
            member,
            progress,
            self._membership,
            self._run_versions,
            silence_handler,
            rival,
        )
        outer = request.exchange
        request.exchange = exchange
        try:
            outcome = self._run_exchange(exchange, version)
            return _add_sent(outcome, connection, version)
        except BaseException:
            connection.close()
            raise
        finally:
            # The connection may serve another request from now on.
            request.exchange = outer
            request.incoming.held.release(exchange)
            if not exchange.is_abandoned:
                member.in_flight_count -= 1

    def drop_idle_connections(self, member):
        """Close the idle connections to a member that stopped responding."""
        self._pool.drop(member.backend.address)

    def _run_exchange(self, exchange, version):
        try:
            exchange.send(version)
        except (h11.LocalProtocolError, UnicodeError) as error:
            # Nothing is written before the whole request is encoded.
            exchange.connection.close()
            detail = f"the request cannot be encoded: {type(error).__name__}"
            return RunOutcome(RunFate.NOT_SENT, detail)
        except EXCHANGE_ERRORS as error:
            exchange.connection.close()
            return exchange.classify_failure(error)
        try:
            outcome = exchange.follow()
        except (*EXCHANGE_ERRORS, OvertakenError, VersionExpiredError) as error:
            exchange.connection.close()
            return exchange.classify_failure(error)
        if not exchange.is_abandoned:
            self._pool.release(exchange.connection, exchange.head)
        return outcome


def _add_sent(outcome, connection, version):
    """Return a RunOutcome with the connection, for the log, and the adapter version."""
    if outcome.fate is RunFate.COMPLETED:
        return outcome
    return attrs.evolve(
        outcome,
        local_port=connection.local_port,
        skipped_answer_count=connection.skipped_count,
        adapter_version=version.number,
    )


def _idle_max_ms(request):
    """Return the longest idle time of a connection reused for a request (float)."""
    return float("inf") if request.route.is_repeatable else NON_REPEATABLE_IDLE_MAX_MS
