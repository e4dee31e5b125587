"""Tests of what is known of requests that crash servers, without a network."""

import pytest

from nutmegdeal.gateway.crash_blame import (
    FIRST_REFUSAL_MS,
    REFUSAL_MS,
    Crash,
    build_request_id,
)
from nutmegdeal.gateway.request_content import digest_request
from nutmegdeal.gateway.suspect_book import SUSPECTS_MAX, SuspectBook
from nutmegdeal.tests import platform_builders as build
from nutmegdeal.tests.prompt_part_load import store

NOW_MS = 1_000.0
BAD = build_request_id("bad")
OTHERS = tuple(build_request_id(f"{number}") for number in range(40))


def crash(book, number, *requests, now_ms=NOW_MS, probed=()):
    """Let a server end under requests, and store what follows."""
    prompts = tuple((suspect,) for suspect in requests)
    seen = Crash(f"s-{number}@1", prompts, probed)
    book.record_own_crash(seen, now_ms)
    store(book, book.plan_crash(seen, now_ms), now_ms)


@pytest.fixture
def book():
    return SuspectBook()


def test_first_crash_refuses_nothing(book):
    crash(book, 1, BAD, *OTHERS)
    assert not any(book.find_refused((item,), NOW_MS) for item in (BAD, *OTHERS))


def test_request_under_which_two_servers_ended_is_refused(book):
    crash(book, 1, BAD, *OTHERS[:20])
    crash(book, 2, BAD, *OTHERS[20:])
    assert book.find_refused((BAD,), NOW_MS).suspect_id == BAD
    assert not any(book.find_refused((item,), NOW_MS) for item in OTHERS)


def test_probe_that_ends_its_server_beside_new_requests_is_conclusive(book):
    crash(book, 1, BAD)
    crash(book, 2, BAD)
    later_ms = NOW_MS + FIRST_REFUSAL_MS
    store(book, book.plan_probe((BAD,), later_ms), later_ms)
    crash(book, 3, BAD, *OTHERS, now_ms=later_ms, probed=(BAD,))
    refused_until_ms = book.find_refused((BAD,), later_ms).refused_until_ms
    assert refused_until_ms == later_ms + REFUSAL_MS


def test_crash_under_a_refused_request_makes_no_new_suspects(book):
    crash(book, 1, BAD)
    crash(book, 2, BAD)
    crash(book, 3, BAD, *OTHERS)
    assert not any(map(book.is_suspect, OTHERS))


def test_delivery_of_a_suspect_ends_the_suspicion(book):
    crash(book, 1, BAD)
    assert book.record_sound((BAD,)) == (BAD,)
    crash(book, 2, BAD)
    assert not book.find_refused((BAD,), NOW_MS)


def test_part_is_blamed_before_the_request_that_comes_again_with_it(book):
    for number in (1, 2):
        seen = Crash(f"s-{number}@1", (("p", BAD),))
        store(book, book.plan_crash(seen, NOW_MS), NOW_MS)
    assert book.find_refused(("p",), NOW_MS)
    assert not book.find_refused((BAD,), NOW_MS)


def test_ordinary_crashes_keep_a_bounded_number_of_suspects(book):
    for number in range(30):
        crash(book, number, *(build_request_id(f"{number}-{n}") for n in range(20)))
    expired = book.expired_parts(NOW_MS)
    assert len(set(book.stored_parts()) - set(expired)) <= SUSPECTS_MAX


def digest(**changes):
    return digest_request(build.build_incoming(**changes))


def test_attempts_at_one_request_have_one_digest():
    headers = [(b"host", b"h.example"), (b"authorization", b"x")]
    first = digest(
        headers=[*headers, (b"x-request-id", b"1"), (b"x-deadline-ms", b"9")]
    )
    second = digest(headers=[(b"x-request-id", b"2"), *headers[::-1]])
    assert first == second


@pytest.mark.parametrize(
    "changes",
    [
        {"method": b"GET"},
        {"path": b"/chat/1?a=2"},
        {"body": b""},
        {"headers": [(b"host", b"other.example")]},
        {"headers": [(b"host", b"chat.example"), (b"authorization", b"y")]},
    ],
)
def test_other_requests_have_other_digests(changes):
    assert digest(**changes) != digest()
