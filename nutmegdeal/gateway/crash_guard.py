"""Keeps requests that crash servers, or whose prompt parts do, away from them.

`suspect_book` decides; this module brings it the observations of one gateway's runs.
"""

import attrs
import gevent
import gevent.event

from nutmegdeal.gateway.crash_blame import Crash
from nutmegdeal.gateway.exchange import DELIVERED_COUNT

# Crashes under new requests alone that may wait for the store. Beyond it they count for
# this gateway only: many servers that end at once are an outage, and all gateways would
# write of each of them.
NEW_CRASHES_WAITING_MAX = 3


@attrs.frozen
class RefusedSuspect:
    """Why a request is refused.

    Parameters
    ----------
    suspect_id : str
    remaining_ms : float
        Until when no probe may be sent either.
    """

    suspect_id: str
    remaining_ms: float


@attrs.define
class _EndedRuns:
    """The runs that broke off at one server, while it is checked.

    Parameters
    ----------
    prompts : list of tuple of str
        Their suspects: the shared parts of the prompt, then the request.
    probed_parts : set of str
        The refused parts that they probed.
    may_have_cause : bool
        One of them was suspected before, or has parts that are not known to be sound.
    checked : gevent.event.AsyncResult
        Gets whether the server has ended.
    """

    prompts: list = attrs.field(factory=list)
    probed_parts: set = attrs.field(factory=set)
    may_have_cause: bool = False
    checked: object = attrs.field(factory=gevent.event.AsyncResult)


class CrashGuard:
    """Observes the runs of requests, and finds those that may not be sent.

    Parameters
    ----------
    board : Blackboard
    book : SuspectBook
    writer : SuspectRowWriter
    end_check : EndCheck
    telemetry : GatewayTelemetry
    """

    def __init__(self, board, book, writer, end_check, telemetry):
        self._board = board
        self._book = book
        self._writer = writer
        self._end_check = end_check
        self._telemetry = telemetry
        self._checks = {}
        self._open = {}

    def begin(self, request):
        """Record that a request is being served."""
        self._open[id(request)] = request

    def end(self, request):
        """Record that a request has ended."""
        self._open.pop(id(request), None)
        if request.probed_parts and not (request.run_count or request.is_delivered):
            self._writer.release_probe(request.probed_parts)

    def refuses(self, request):
        """Return the RefusedSuspect of a request, None if it may be sent.

        One request may be sent as a probe when the refusal of its suspect has ended.
        """
        if not self._book.has_suspects:
            return None
        now_ms = self._board.store_now_ms()
        record = self._book.find_refused(request.suspect_ids, now_ms)
        if record is None or record.suspect_id in request.probed_parts:
            return None
        if self._book.may_probe(record, now_ms):
            request.probed_parts = self._writer.claim_probe(request.suspect_ids)
        if request.probed_parts:
            self._telemetry.record_part("probed", record)
            return None
        remaining_ms = max(record.refused_until_ms - now_ms, 0.0)
        return RefusedSuspect(record.suspect_id, remaining_ms)

    def record_delivered(self, request):
        """Record that a request has proved to be sound.

        Sound requests are many and mostly different, so only suspects are recorded.
        """
        request.is_delivered = True
        request.is_suspected = False
        sound_ids = request.shared_parts
        if self._book.has_suspects and self._book.is_suspect(request.suspect_ids[-1]):
            sound_ids = request.suspect_ids
        removed = self._book.record_sound(sound_ids)
        if removed:
            self._writer.remove(removed)

    def record_broken_run(self, request, member, outcome):
        """Record a run that broke off; return whether the request is suspected (bool).

        Only a request that may be the cause waits for a few ms for the check whether
        the server has ended. The first crash under a request says little: it is
        repeated as its route allows.
        """
        if not outcome.is_broken_off or outcome.event_count >= DELIVERED_COUNT:
            return False
        if member.availability.is_leaving:
            return False
        may_be_cause = bool(
            self._book.unknown_parts(request.shared_parts)
            or request.probed_parts
            or self._book.is_suspect(request.suspect_ids[-1])
        )
        key = id(member)
        runs = self._checks.get(key)
        if runs is None:
            runs = self._checks[key] = _EndedRuns()
            gevent.spawn(self._check, key, member, runs)
        runs.prompts.append(request.suspect_ids)
        runs.probed_parts.update(request.probed_parts)
        runs.may_have_cause |= may_be_cause
        return may_be_cause and runs.checked.get()

    def _check(self, key, member, runs):
        has_ended = False
        try:
            has_ended = self._end_check.has_ended(member)
        finally:
            # The requests wait for it, whatever fails.
            del self._checks[key]
            runs.checked.set(has_ended)
        if not has_ended:
            return
        self._board.record_trouble()
        crash_id = f"{member.backend_id}@{member.backend.started_unix_ms}"
        prompts = tuple(dict.fromkeys(runs.prompts))
        crash = Crash(crash_id, prompts, tuple(sorted(runs.probed_parts)))
        self._telemetry.record_crash(crash)
        self._book.record_own_crash(crash, self._board.store_now_ms())
        has_room = self._writer.waiting_count < NEW_CRASHES_WAITING_MAX
        if runs.may_have_cause or has_room:
            self._writer.submit(crash)
        self.cancel_refused()

    def cancel_refused(self):
        """End the runs that are refused by now and have delivered nothing."""
        if not self._book.has_suspects:
            return
        now_ms = self._board.store_now_ms()
        for request in list(self._open.values()):
            exchange = request.exchange
            if exchange is None or exchange.event_count:
                continue
            record = self._book.find_refused(request.suspect_ids, now_ms)
            if record is not None and record.suspect_id not in request.probed_parts:
                exchange.cancel()
