"""Many servers that end at once make few calls to the store."""

import gevent

from nutmegdeal.gateway.crash_guard import NEW_CRASHES_WAITING_MAX, CrashGuard
from nutmegdeal.gateway.engine_check import EndCheck, Reachability
from nutmegdeal.gateway.members import Membership
from nutmegdeal.gateway.requests import RunFate, RunOutcome
from nutmegdeal.gateway.suspect_book import SuspectBook
from nutmegdeal.gateway.suspect_rows import SuspectRowWriter
from nutmegdeal.gateway.telemetry import GatewayTelemetry
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.dispatch_harness import build_board
from nutmegdeal.tests.local_store import LocalStore

SERVER_COUNT = 40
BROKEN_OFF = RunOutcome(RunFate.MAYBE_RAN, is_broken_off=True)


class AllHaveEnded(EndCheck):
    """Every server has ended."""

    def has_ended(self, member):
        return True

    def find_reachability(self, member):
        return Reachability.REFUSES


def build_lookup(number):
    route = build.build_lookup_route()
    incoming = build.build_incoming(path=b"/look/%d" % number)
    return build.build_request(route, incoming=incoming)


class TestWave:
    """One gateway whose servers all end at once."""

    def setup_method(self):
        self.membership = Membership()
        board = build_board(self.membership)
        book, telemetry = SuspectBook(), GatewayTelemetry()
        self.book = book
        self.writer = SuspectRowWriter(LocalStore(), board, book, telemetry)
        self.guard = CrashGuard(board, book, self.writer, AllHaveEnded(), telemetry)

    def end_under(self, number, request):
        backend = build.build_backend(backend_id=f"i-{number}")
        member = self.membership.put(backend, 0.0)
        is_suspected = self.guard.record_broken_run(request, member, BROKEN_OFF)
        gevent.sleep(0)
        return is_suspected

    def test_new_requests_are_repeated_and_fill_no_queue(self):
        for number in range(SERVER_COUNT):
            assert not self.end_under(number, build_lookup(number))
        assert self.writer.waiting_count == NEW_CRASHES_WAITING_MAX

    def test_request_under_which_a_second_server_ends_is_always_stored(self):
        for number in range(SERVER_COUNT):
            self.end_under(number, build_lookup(number))
        assert self.end_under(SERVER_COUNT, build_lookup(0))
        assert self.writer.waiting_count == NEW_CRASHES_WAITING_MAX + 1
        assert self.book.find_refused(build_lookup(0).suspect_ids, 0.0)
