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


def check_continuation(head, begun_head):
    """Raise a BrokenAnswerError for a success that cannot continue an answer.

    Parameters
    ----------
    head : ResponseHead
    begun_head : ResponseHead or None
        Head of the answer of which the caller has a part, None if it has none.
    """
    if begun_head is None or not is_success(head):
        return
    if head.status_code != begun_head.status_code:
        raise BrokenAnswerError(
            f"status {head.status_code} after a part of {begun_head.status_code}"
        )
    if read_media_type(head) != read_media_type(begun_head):
        raise BrokenAnswerError("another media type than that of the begun answer")


def read_media_type(head):
    """Return the media type (bytes) of an answer, in lower case, without parameters."""
    content_type = find_header(head.headers, b"content-type") or b""
    return content_type.partition(b";")[0].strip().lower()


def is_success(head):
    """Return whether the status of an answer is 2xx."""
    return 200 <= head.status_code < 300
