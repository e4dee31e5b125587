"""HTTP calls to the model engine beside the placer."""

import enum

from nutmegdeal.http_connections import BrokenAnswerError, ConnectError
from nutmegdeal.log import get_logger
from nutmegdeal.platform import engine as platform_engine
from nutmegdeal.platform.headers import is_server_leaving

logger = get_logger(__name__)

# Timeout of a report. Both processes are on one machine; a busy engine answers within a
# few ms, and takes up to six times that on a slowed machine.
REPORT_TIMEOUT_MS = 300.0
# Timeout of an order. An unanswered order delays the next one, and callers expect the
# first event within 600 ms.
ORDER_TIMEOUT_MS = 120.0
# Limit on an answer's body; a report of some hundred runs is under 100 KB.
ANSWER_BYTES_MAX = 4_194_304


class OrderResult(enum.Enum):
    """Result of sending an order to an engine.

    ``ACCEPTED``, ``REJECTED``: the engine's answer.
    ``UNANSWERED``: there was no answer; the engine may still execute the order.
    ``NOT_SENT``: nothing reached the engine.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNANSWERED = "unanswered"
    NOT_SENT = "not_sent"


class EngineClient:
    """HTTP client of one engine.

    Parameters
    ----------
    address : Address
    holder : str
        Name of this host, which identifies the sender of orders.
    pool : ConnectionPool
    """

    def __init__(self, address, holder, pool):
        self.peer = str(address)
        self._address = address.pair
        self._holder = holder
        self._pool = pool

    def read_report(self):
        """Return the engine's EngineReport, None if there is no valid answer."""
        try:
            head, body = self._call(
                b"GET", platform_engine.REPORT_PATH, b"", REPORT_TIMEOUT_MS
            )
        except (OSError, BrokenAnswerError) as error:
            logger.debug("report_failed", peer=self.peer, error=repr(error))
            return None
        if head.status_code != 200:
            error = f"status {head.status_code}"
            logger.debug("report_failed", peer=self.peer, error=error)
            return None
        report = platform_engine.decode_report(body, is_server_leaving(head.headers))
        if report is None:
            logger.warning("report_malformed", peer=self.peer)
        return report

    def send_order(self, order, expected_count):
        """Send an order once, without retries.

        Parameters
        ----------
        order : Order
        expected_count : int
            `EngineReport.order_count` at which the order is valid.

        Returns
        -------
        OrderResult
        """
        body = platform_engine.encode_order(order, self._holder, expected_count)
        headers = platform_engine.encode_order_headers(order)
        try:
            head, answer = self._call(
                b"POST", platform_engine.ORDER_PATH, body, ORDER_TIMEOUT_MS, headers
            )
        except ConnectError:
            return OrderResult.NOT_SENT
        except (OSError, BrokenAnswerError) as error:
            logger.warning("order_unanswered", peer=self.peer, error=repr(error))
            return OrderResult.UNANSWERED
        if head.status_code in (200, 202):
            return OrderResult.ACCEPTED
        logger.info(
            "order_rejected",
            status=head.status_code,
            operation=order.operation.value,
            adapter=order.adapter,
            expected=expected_count,
            detail=answer[:120].decode("utf-8", "replace"),
        )
        return OrderResult.REJECTED

    def _call(self, method, path, body, within_ms, extra_headers=()):
        headers = [(b"host", self.peer.encode()), *extra_headers]
        return self._pool.call(
            self._address,
            method,
            path.encode(),
            headers,
            body,
            within_ms,
            ANSWER_BYTES_MAX,
        )
