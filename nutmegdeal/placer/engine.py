"""Calls to the model engine beside the placer."""

import enum

from nutmegdeal.http_connections import BrokenAnswerError, ConnectError
from nutmegdeal.log import get_logger
from nutmegdeal.platform import engine as wire

logger = get_logger(__name__)

# Both ends are on one machine; an answer takes a few ms even of a busy engine, and up
# to six times that on a machine that is slowed.
REPORT_TIMEOUT_MS = 300.0
# An order without an answer holds up the next one, and a caller's adapter is due in
# 600 ms.
ORDER_TIMEOUT_MS = 120.0
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
    address : Address
    holder : str
        Name of this host.
    pool : ConnectionPool
    """

    def __init__(self, address, holder, pool):
        self.peer = str(address)
        self._address = address.pair
        self._holder = holder
        self._pool = pool

    def read_report(self):
        """Return an EngineReport, or None if there is no valid one."""
        try:
            status_code, body = self._call(
                b"GET", wire.REPORT_PATH, b"", REPORT_TIMEOUT_MS
            )
        except (OSError, BrokenAnswerError) as error:
            logger.debug("report_failed", peer=self.peer, error=repr(error))
            return None
        if status_code != 200:
            return None
        report = wire.decode_report(body)
        if report is None:
            logger.warning("report_malformed", peer=self.peer)
        return report

    def send_order(self, order, expected_count):
        """Send an Order once; return an OrderResult."""
        body = wire.encode_order(order, self._holder, expected_count)
        try:
            status_code, answer = self._call(
                b"POST", wire.ORDER_PATH, body, ORDER_TIMEOUT_MS
            )
        except ConnectError:
            return OrderResult.NOT_SENT
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

    def _call(self, method, path, body, within_ms):
        headers = [(b"host", self.peer.encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
        return self._pool.call(
            self._address,
            method,
            path.encode(),
            headers,
            body,
            within_ms,
            ANSWER_BYTES_MAX,
        )
