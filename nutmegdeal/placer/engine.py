"""Calls to the model engine beside the placer."""

import enum

from nutmegdeal.http_connections import BrokenAnswerError
from nutmegdeal.log import get_logger
from nutmegdeal.platform import engine as wire

logger = get_logger(__name__)

# Both ends are on one machine; an answer takes a few ms even of a busy engine.
CALL_WITHIN_MS = 300.0
# A report of some hundred runs takes under 100 KB.
ANSWER_BYTES_MAX = 4_194_304


class OrderResult(enum.Enum):
    """What an engine said to an order."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNANSWERED = "unanswered"
    NOT_SENT = "not_sent"


class EngineClient:
    """Calls one engine.

    Parameters
    ----------
    endpoint : Endpoint
    holder : str
        Name of this host.
    pool : ConnectionPool
    clock : Clock
    """

    def __init__(self, endpoint, holder, pool, clock):
        self.peer = str(endpoint)
        self._address = (endpoint.host, endpoint.port)
        self._holder = holder
        self._pool = pool
        self._clock = clock

    def read_report(self):
        """Return an EngineReport, or None if there is no valid one."""
        try:
            connection = self._pool.acquire(self._address, CALL_WITHIN_MS)
        except OSError:
            return None
        try:
            answer = self._call(connection, b"GET", wire.REPORT_PATH.encode(), b"")
        except (OSError, BrokenAnswerError) as error:
            logger.debug("report_failed", peer=self.peer, error=repr(error))
            return None
        status_code, body = answer
        if status_code != 200:
            return None
        report = wire.decode_report(body)
        if report is None:
            logger.warning("report_malformed", peer=self.peer)
        return report

    def give(self, order, expected_count):
        """Send an Order once; return an OrderResult."""
        body = wire.encode_order(order, self._holder, expected_count)
        try:
            connection = self._pool.acquire(self._address, CALL_WITHIN_MS)
        except OSError:
            return OrderResult.NOT_SENT
        try:
            status_code, answer = self._call(
                connection, b"POST", wire.ORDER_PATH.encode(), body
            )
        except (OSError, BrokenAnswerError) as error:
            logger.warning("order_unanswered", peer=self.peer, error=repr(error))
            return OrderResult.UNANSWERED
        if status_code in (200, 202):
            return OrderResult.ACCEPTED
        logger.info(
            "order_rejected",
            status=status_code,
            operation=order.operation.value,
            adapter=order.adapter,
            expected=expected_count,
            detail=answer[:120].decode("utf-8", "replace"),
        )
        return OrderResult.REJECTED

    def _call(self, connection, method, target, body):
        deadline_ms = self._clock.monotonic_ms() + CALL_WITHIN_MS
        headers = [(b"host", self.peer.encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
        try:
            connection.send(method, target, headers, body)
            head = connection.read_head(deadline_ms)
            answer = connection.read_body(deadline_ms, ANSWER_BYTES_MAX)
        except BaseException:
            connection.close()
            raise
        self._pool.release(connection, head)
        return head.status_code, answer
