"""Checks of the head of a backend server's answer."""

from nutmegdeal.http_connections import BrokenAnswerError, find_header
from nutmegdeal.platform import headers as platform_headers


def check_success(head):
    """Raise a BrokenAnswerError for a success that cannot be passed on."""
    if not is_success(head):
        return
    if find_header(head.headers, platform_headers.SIGNATURE) is None:
        raise BrokenAnswerError("the successful answer has no signature")
    if find_header(head.headers, platform_headers.REQUEST_ID) is None:
        raise BrokenAnswerError("the successful answer has no request id")


def is_success(head):
    """Return whether the status of an answer is 2xx."""
    return 200 <= head.status_code < 300
