"""HTTP calls to a backend server, with checks that an answer arrived completely."""

import json
import math

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
)

from nutmegdeal.backends.base import BackendAnswer, BackendHead
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.whole_responses import ResponseLimits, WholeResponsePools

CONNECT_TIMEOUT_MS = 1_000
READ_BYTES_MAX = 65_536
ERROR_BODY_BYTES_MAX = 65_536
# Idle connections kept for reuse, per server; more are opened if needed.
IDLE_CONNECTIONS_MAX = 256
# End of an event stream that is kept to look for the DONE_EVENT.
TAIL_BYTES = 64
ERROR_STATUS = 400
# Sent with each request; an answer that has it names the request that it is to.
ATTEMPT_ID = "X-Attempt-Id"
DONE_EVENT = b"data: [DONE]"
NOT_SENT_ERRORS = (ConnectTimeoutError, NewConnectionError, NameResolutionError)


def new_connection_pool(response_bytes_max=math.inf):
    """Return a urllib3 pool that never retries and follows no redirects.

    Parameters
    ----------
    response_bytes_max : float, optional
        Most bytes of a response; by default bodies are not limited, as they are passed
        on while they arrive.
    """
    return WholeResponsePools(
        ResponseLimits(response_bytes_max),
        maxsize=IDLE_CONNECTIONS_MAX,
        block=False,
        retries=False,
        timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_MS / 1000, read=None),
    )


def authorization_headers(secret):
    """Return the Authorization header for a secret; no header for ""."""
    return {"Authorization": f"Bearer {secret}"} if secret else {}


def transport_failure(error, step, peer):
    """Return the Failure of a call that ended with a transport error."""
    return Failure(
        Reason.CONNECTION_LOST,
        step,
        peer,
        f"{type(error).__name__}: {error}",
        maybe_applied=not isinstance(error, NOT_SENT_ERRORS),
    )


def send(pool, base_url, submit, headers):
    """Send the request of a Submit.

    Returns
    -------
    urllib3.BaseHTTPResponse or Failure
        The response, its body not yet read.
    """
    try:
        response = pool.request(
            submit.method,
            base_url + submit.path,
            body=submit.body,
            headers={**headers, ATTEMPT_ID: submit.attempt_id},
            preload_content=False,
        )
    except (HTTPError, OSError) as error:
        return transport_failure(error, Step.DISPATCH, base_url)
    answered_id = response.headers.get(ATTEMPT_ID, submit.attempt_id)
    if answered_id == submit.attempt_id:
        return response
    # A server may repeat its answer to an earlier request on the connection.
    response.close()
    return Failure(
        Reason.CONNECTION_LOST,
        Step.DISPATCH,
        base_url,
        f"the answer is to attempt {answered_id}",
        maybe_applied=True,
    )


def read_error_code(body):
    """Return the ``error`` code of a JSON error body, "" if there is none."""
    try:
        error_code = json.loads(body)["error"]
    except (ValueError, KeyError, TypeError):
        return ""
    return error_code if isinstance(error_code, str) else ""


def head_of(response):
    """Return the BackendHead of a urllib3 response."""
    return BackendHead(
        response.status,
        response.headers.get("Content-Type", "application/octet-stream"),
        response.headers.get("X-Adapter", ""),
    )


class BufferedAnswer(BackendAnswer):
    """An answer whose body has already been read.

    Parameters
    ----------
    head : BackendHead
    body : bytes
    """

    def __init__(self, head, body):
        self.head = head
        self._body = body

    def chunks(self):
        """Yield the body."""
        if self._body:
            yield self._body

    def close(self):
        """Do nothing: the connection has already been released."""


class HttpAnswer(BackendAnswer):
    """An answer that is read from its connection and checked for completeness.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        Requested with ``preload_content=False``.
    peer : str
        Named in Failures.
    """

    def __init__(self, response, peer):
        self.head = head_of(response)
        self._response = response
        self._peer = peer
        self._tail = b""

    def chunks(self):
        """Yield bytes as they arrive, then a Failure if the answer is incomplete."""
        try:
            while chunk := self._response.read1(READ_BYTES_MAX):
                self._tail = (self._tail + chunk)[-TAIL_BYTES:]
                yield chunk
        except (HTTPError, OSError) as error:
            self._response.close()
            yield self._incomplete_failure(f"{type(error).__name__}: {error}")
            return
        if not self._is_complete():
            self._response.close()
            yield self._incomplete_failure("the connection ended before the answer")
            return
        self._response.release_conn()

    def _is_complete(self):
        if self.head.is_event_stream:
            return self._tail.rstrip().endswith(DONE_EVENT)
        if self._response.chunked:
            return True
        # None without a valid length; 0 for an answer that has no body.
        return self._response.length_remaining == 0

    def _incomplete_failure(self, detail):
        return Failure(
            Reason.INCOMPLETE_ANSWER,
            Step.RELAY,
            self._peer,
            detail,
            maybe_applied=True,
        )

    def close(self):
        """Close the connection, which tells the server that the call is cancelled."""
        self._response.close()


def read_error_body(response, step, peer):
    """Return the complete body of an error answer as bytes, or a Failure."""
    body = b""
    for chunk in HttpAnswer(response, peer).chunks():
        if isinstance(chunk, Failure):
            return Failure(chunk.reason, step, peer, chunk.detail, maybe_applied=True)
        body += chunk
        if len(body) > ERROR_BODY_BYTES_MAX:
            response.close()
            detail = f"an error body of more than {ERROR_BODY_BYTES_MAX} bytes"
            return Failure(Reason.BACKEND_ERROR, step, peer, detail, maybe_applied=True)
    return body
