"""Reads the head of the answer to one request, and what it says of the server."""

from nutmegdeal.gateway.answer_checks import check_success
from nutmegdeal.gateway.availability import LeavingSource, LimitSource
from nutmegdeal.http_connections import BrokenAnswerError, find_header
from nutmegdeal.log import get_logger
from nutmegdeal.platform import headers as platform_headers

logger = get_logger(__name__)


class AnswerHeadReader:
    """Reads the head of the answer to one request on one connection.

    Parameters
    ----------
    clock : Clock
    connection : ClientConnection
    request : Request
    member : Member
        The server that the request was sent to.
    membership : Membership
        Gets what the head says of the server.
    times : AnswerTimes
    skipped_bytes_max : int
        Most bytes of an answer to another request.
    """

    def __init__(
        self, clock, connection, request, member, membership, times, skipped_bytes_max
    ):
        self._clock = clock
        self._connection = connection
        self._request = request
        self._member = member
        self._membership = membership
        self._times = times
        self._skipped_bytes_max = skipped_bytes_max

    def read(self, limit_ms):
        """Return the ResponseHead of the answer, skipping late other answers.

        Parameters
        ----------
        limit_ms : float
            On the monotonic clock.

        Raises
        ------
        OSError, BrokenAnswerError
        """
        while True:
            head = self._connection.read_head(limit_ms)
            # After the address has been assigned to another server, that one answers.
            if platform_headers.is_from_server(head.headers, self._member.backend_id):
                self._record_notices(head)
            if self._is_own(head):
                break
            self._skip(head, limit_ms)
        now_ms = self._clock.monotonic_ms()
        load = platform_headers.decode_server_load(head.headers)
        self._times.record_load(load, now_ms)
        pause_ms = platform_headers.decode_retry_after_ms(
            head.status_code, head.headers
        )
        if pause_ms is not None:
            self._membership.record_pause(self._member, pause_ms, now_ms)
        check_success(head)
        return head

    def _is_own(self, head):
        """Return whether a head is that of the answer to this request."""
        answered_id = find_header(head.headers, platform_headers.REQUEST_ID)
        if answered_id is None and self._connection.is_reused:
            raise BrokenAnswerError("the answer may be to an earlier request")
        if answered_id is None:
            return True
        return answered_id.decode("latin-1") == self._request.request_id

    def _skip(self, head, limit_ms):
        """Skip the answer to another request, of which the head was read."""
        answered_id = find_header(head.headers, platform_headers.REQUEST_ID)
        logger.info(
            "answer_skipped",
            request=self._request.request_id,
            backend=self._member.backend_id,
            answered=answered_id.decode("latin-1"),
            status=head.status_code,
            local_port=self._connection.local_port,
        )
        self._connection.skip_response(limit_ms, self._skipped_bytes_max)

    def _record_notices(self, head):
        """Record what all answers of the server say of it, whatever their status."""
        if platform_headers.is_server_leaving(head.headers):
            self._membership.record_leaving(self._member, LeavingSource.ANSWER)
        try:
            limit_per_s = platform_headers.decode_server_limit(head.headers)
        except ValueError:
            self._membership.record_unusable_limit(self._member)
            return
        now_ms = self._clock.monotonic_ms()
        self._membership.record_limit(
            self._member, limit_per_s, LimitSource.ANSWER, now_ms
        )
