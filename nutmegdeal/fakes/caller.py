"""Client of the entries, whose results `fakes.call_checker` can check."""

import json
import time

import urllib3
from urllib3.exceptions import HTTPError

from nutmegdeal.fakes.call_checker import Call
from nutmegdeal.messages import Fate

ANSWER_WITHIN_MS = 15_000
TIMEOUT_MARGIN_S = 10
IDLE_CONNECTIONS_MAX = 64
ERROR_EVENT = b"event: error\ndata: "


class Caller:
    """Sends requests to entries in round-robin order.

    Parameters
    ----------
    entry_urls : sequence of str
    answer_within_ms : int
        Time from a request to its deadline.
    """

    def __init__(self, entry_urls, answer_within_ms=ANSWER_WITHIN_MS):
        self._entry_urls = entry_urls
        self._answer_within_ms = answer_within_ms
        self._pool = urllib3.PoolManager(maxsize=IDLE_CONNECTIONS_MAX, retries=False)
        self._request_count = 0

    def complete(self, engine_name, prompt, max_tokens, stream=True):
        """Request a completion; return the Call."""
        fields = {"model": engine_name, "prompt": prompt, "max_tokens": max_tokens}
        body = json.dumps({**fields, "stream": stream}).encode()
        path = "/v1/completions"
        response = self._send("POST", path, body, {})
        return Call(
            *("POST", path, body, *_read_response(response, stream)),
            engine_name=engine_name,
            prompt=prompt,
            max_tokens=max_tokens,
            stream=stream,
        )

    def call_service(self, service, method, path, fields=None, key=""):
        """Call a plain service; return the Call."""
        body = b"" if fields is None else json.dumps(fields).encode()
        headers = {"Idempotency-Key": key} if key else {}
        response = self._send(method, f"/services/{service}{path}", body, headers)
        result_fields = _read_response(response, stream=False)
        return Call(method, path, body, *result_fields, idempotency_key=key)

    def _send(self, method, path, body, headers):
        """Return the response with its body unread, or the HTTPError raised."""
        entry_url = self._entry_urls[self._request_count % len(self._entry_urls)]
        self._request_count += 1
        deadline_unix_ms = int(time.time() * 1000) + self._answer_within_ms
        headers = {"X-Deadline-Ms": str(deadline_unix_ms), **headers}
        try:
            return self._pool.request(
                method,
                entry_url + path,
                body=body,
                headers=headers,
                preload_content=False,
                timeout=self._answer_within_ms / 1000 + TIMEOUT_MARGIN_S,
            )
        except HTTPError as error:
            return error


def _read_response(response, stream):
    """Return the request id, the Fate and the response body (bytes).

    A failed transfer means Fate.IN_DOUBT and an empty body.
    """
    if isinstance(response, HTTPError):
        return "", Fate.IN_DOUBT, b""
    request_id = response.headers.get("X-Request-Id", "")
    try:
        answer = response.read()
    except HTTPError:
        return request_id, Fate.IN_DOUBT, b""
    finally:
        response.release_conn()
    if stream and response.status == 200:
        return request_id, _parse_stream_fate(answer), answer
    return request_id, Fate(response.headers["X-Nutmegdeal-Fate"]), answer


def _parse_stream_fate(answer):
    """Return the Fate in the error event that ends a stream, else COMPLETED."""
    _, separator, error = answer.rpartition(ERROR_EVENT)
    return Fate(json.loads(error)["fate"]) if separator else Fate.COMPLETED
