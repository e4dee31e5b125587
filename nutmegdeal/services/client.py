"""HTTP client for the platform's services; a call that writes is never retried."""

import json
import time

import attrs
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from nutmegdeal.buffering.answers import HELD_ANSWERS
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.whole_responses import ResponseLimits, WholeResponsePools

# Idle connections kept for reuse; more are opened if needed.
IDLE_CONNECTIONS_MAX = 16
TIMEOUT_MIN_S = 0.001
CHUNK_BYTES = 65_536
ANSWER_BYTES_MAX = 16_777_216
NOT_SENT_ERRORS = (ConnectTimeoutError, NewConnectionError)
JSON_TYPE = "application/json"


@attrs.frozen
class HttpAnswer:
    """A complete HTTP answer.

    Parameters
    ----------
    status_code : int
    body : bytes
    """

    status_code: int
    body: bytes

    def json(self):
        """Return the decoded body, or None if it is not a JSON object."""
        try:
            decoded = json.loads(self.body)
        except ValueError:
            return None
        return decoded if isinstance(decoded, dict) else None

    def is_error(self, status_code, error):
        """Return whether this answer has this status and this ``error`` code."""
        if self.status_code != status_code:
            return False
        decoded = self.json()
        return decoded is not None and decoded.get("error") == error


class HttpClient:
    """HTTP client of one platform service.

    Parameters
    ----------
    base_url : str
    timeout_ms : int
        Time limit of one call, a retry included.
    """

    def __init__(self, base_url, timeout_ms):
        self.peer = base_url.rstrip("/")
        self._timeout_s = timeout_ms / 1000
        self._pool = WholeResponsePools(
            ResponseLimits(ANSWER_BYTES_MAX),
            maxsize=IDLE_CONNECTIONS_MAX,
            retries=False,
        )

    def call(self, method, path, body=None, content_type=JSON_TYPE):
        """Send a request once and wait for the complete answer.

        Returns
        -------
        HttpAnswer or Failure
            A Failure has ``maybe_applied=False`` only if the service cannot have
            received the request.
        """
        return self._call(method, path, body, content_type, self._deadline_s())

    def query(self, method, path, body=None):
        """Send a request that changes nothing; retry it once if the first call failed.

        Returns
        -------
        HttpAnswer or Failure
            A Failure always has ``maybe_applied=False``.
        """
        deadline_s = self._deadline_s()
        answer = self._call(method, path, body, JSON_TYPE, deadline_s)
        if isinstance(answer, Failure) and time.monotonic() < deadline_s:
            answer = self._call(method, path, body, JSON_TYPE, deadline_s)
        if isinstance(answer, Failure):
            return attrs.evolve(answer, maybe_applied=False)
        return answer

    def _deadline_s(self):
        return time.monotonic() + self._timeout_s

    def _call(self, method, path, body, content_type, deadline_s):
        headers = {"Content-Type": content_type} if body is not None else {}
        remaining_s = max(deadline_s - time.monotonic(), TIMEOUT_MIN_S)
        try:
            response = self._pool.request(
                method,
                self.peer + path,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(total=remaining_s),
                redirect=False,
                preload_content=False,
            )
            return self._read_answer(response)
        except NOT_SENT_ERRORS as error:
            return self.build_failure(str(error), maybe_applied=False)
        except (HTTPError, OSError) as error:
            return self.build_failure(str(error), maybe_applied=True)

    def _read_answer(self, response):
        body, held = bytearray(), HELD_ANSWERS.open_answer()
        try:
            while chunk := response.read(CHUNK_BYTES):
                body += chunk
                if not held.grow(len(chunk)):
                    return self._abort(response, "too many bytes of answers are held")
        except (HTTPError, OSError):
            response.close()
            raise
        response.release_conn()
        return HttpAnswer(response.status, bytes(body))

    def _abort(self, response, detail):
        response.close()
        return self.build_failure(detail, maybe_applied=True)

    def build_failure(self, detail, maybe_applied):
        """Return a Failure with this service as its peer."""
        return Failure(
            Reason.STORE_UNAVAILABLE,
            Step.PLATFORM,
            self.peer,
            detail,
            maybe_applied=maybe_applied,
        )

    def build_unexpected_failure(self, answer, maybe_applied):
        """Return a Failure for an answer that the protocol does not define."""
        start = answer.body[:200].decode("utf-8", "replace")
        return self.build_failure(f"HTTP {answer.status_code}: {start}", maybe_applied)
