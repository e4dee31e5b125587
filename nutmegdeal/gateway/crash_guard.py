"""Keeps requests with prompt parts that crash engines away from them.

`suspect_book` decides; this module brings it the observations of one gateway's runs.
"""

import attrs
import gevent
import gevent.event

from nutmegdeal.gateway.crash_blame import Crash
from nutmegdeal.gateway.exchange import DELIVERED_COUNT


@attrs.define
class _EndedRuns:
    """The runs that broke off at one engine, while it is checked.

    Parameters
    ----------
    prompts : list of tuple of str
        Shared parts of their prompts.
    probed_parts : set of str
        The refused parts that they probed.
    checked : gevent.event.AsyncResult
        Gets whether the engine has ended.
    """

    prompts: list = attrs.field(factory=list)
    probed_parts: set = attrs.field(factory=set)
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
        if request.shared_parts:
            self._open[id(request)] = request

    def end(self, request):
        """Record that a request has ended."""
        self._open.pop(id(request), None)
        if request.probed_parts and not (request.run_count or request.is_delivered):
            self._writer.release_probe(request.probed_parts)

    def refuses(self, request):
        """Return for how long a request is refused, in ms (float); None if it is not.

        One request may be sent as a probe when the refusal of its part has ended.
        """
        if not request.shared_parts:
            return None
        now_ms = self._board.store_now_ms()
        record = self._book.find_refused(request.shared_parts, now_ms)
        if record is None or record.suspect_id in request.probed_parts:
            return None
        if self._book.may_probe(record, now_ms):
            request.probed_parts = self._writer.claim_probe(request.shared_parts)
        if request.probed_parts:
            self._telemetry.record_part("probed", record)
            return None
        return max(record.refused_until_ms - now_ms, 0.0)

    def record_delivered(self, request):
        """Record that the prompt of a request has proved to be sound."""
        request.is_delivered = True
        removed = self._book.record_sound(request.shared_parts)
        if removed:
            self._writer.remove(removed)

    def record_broken_run(self, request, member, outcome):
        """Record a run that broke off; return whether its prompt is suspected (bool).

        Waits for a few ms for the check whether the engine has ended.
        """
        if not outcome.is_broken_off or outcome.event_count >= DELIVERED_COUNT:
            return False
        if member.availability.is_leaving:
            return False
        if not self._book.unknown_parts(request.shared_parts):
            return False
        key = id(member)
        runs = self._checks.get(key)
        if runs is None:
            runs = self._checks[key] = _EndedRuns()
            gevent.spawn(self._check, key, member, runs)
        runs.prompts.append(request.shared_parts)
        runs.probed_parts.update(request.probed_parts)
        return runs.checked.get()

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
        self._writer.submit(crash)
        self.cancel_refused()

    def cancel_refused(self):
        """End the runs whose part is refused by now and that have delivered nothing."""
        now_ms = self._board.store_now_ms()
        for request in list(self._open.values()):
            exchange = request.exchange
            if exchange is None or exchange.event_count:
                continue
            record = self._book.find_refused(request.shared_parts, now_ms)
            if record is not None and record.suspect_id not in request.probed_parts:
                exchange.cancel()
