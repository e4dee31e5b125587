"""HTTP client of a model engine."""

import json

import cattrs
from urllib3.exceptions import HTTPError

from nutmegdeal.backends import http
from nutmegdeal.backends.base import EngineReport, ModelEngine
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import URGENCY_RANK

LOAD_WITHIN_MS = 60_000
REPORT_WITHIN_MS = 2_000
SERVER_ERROR_STATUS = 500

# Words by which an engine says that it did not do what it was asked.
NOT_APPLIED_REASONS = {
    "not_resident": Reason.NOT_FOUND,
    "old_fence": Reason.FENCED,
    "unauthenticated": Reason.UNAUTHENTICATED,
    "no_free_slot": Reason.QUEUE_FULL,
    "load_failed": Reason.LOAD_FAILED,
    "not_run": Reason.OVERLOADED,
}


class HttpModelEngine(ModelEngine):
    """A model engine behind a base URL.

    Parameters
    ----------
    base_url : str
    secret : str
        Sent with each call; "" for an engine that doesn't check.
    """

    def __init__(self, base_url, secret=""):
        self._base_url = base_url.rstrip("/")
        self._secret_headers = http.authorization(secret)
        self._pool = http.new_pool()

    def call(self, submit):
        """Send a request; return a BackendAnswer or a Failure."""
        headers = self._request_headers(submit)
        response = http.send(self._pool, self._base_url, submit, headers)
        if isinstance(response, Failure):
            return response
        if response.status < http.ERROR_STATUS:
            return http.HttpAnswer(response, self._base_url)
        return self._read_error(response)

    def _request_headers(self, submit):
        headers = {
            "Content-Type": submit.content_type,
            "X-Attempt-Id": submit.attempt_id,
            "X-Priority": str(URGENCY_RANK[submit.urgency]),
            **self._secret_headers,
        }
        if submit.resume_from:
            headers["X-Resume-From"] = str(submit.resume_from)
        return headers

    def _read_error(self, response):
        body = http.read_error_body(response, Step.DISPATCH, self._base_url)
        if isinstance(body, Failure):
            return body
        failure = self._named_failure(response, body, Step.DISPATCH)
        is_callers_mistake = response.status < SERVER_ERROR_STATUS
        if is_callers_mistake and failure.reason is Reason.BACKEND_ERROR:
            return http.BufferedAnswer(http.head_of(response), body)
        return failure

    def _named_failure(self, response, body, step):
        word = http.read_error_word(body)
        reason = NOT_APPLIED_REASONS.get(word)
        detail = f"status {response.status} {word}".rstrip()
        if reason is None:
            return Failure(
                Reason.BACKEND_ERROR, step, self._base_url, detail, maybe_applied=True
            )
        return Failure(reason, step, self._base_url, detail)

    def load(self, engine_name, fence):
        """Order an adapter to be loaded; return None or a Failure."""
        return self._order("load", Step.LOAD, engine_name, fence)

    def unload(self, engine_name, fence):
        """Order an adapter to be dropped; return None or a Failure."""
        return self._order("unload", Step.EVICT, engine_name, fence)

    def _order(self, verb, step, engine_name, fence):
        body = json.dumps({"adapter": engine_name, "fence": fence})
        answer = self._exchange(
            "POST", f"/admin/{verb}", step, LOAD_WITHIN_MS, body.encode()
        )
        return answer if isinstance(answer, Failure) else None

    def _exchange(self, method, path, step, within_ms, body=None):
        """Return the body of a 200 answer as bytes, or a Failure."""
        try:
            response = self._pool.request(
                method,
                self._base_url + path,
                body=body,
                headers={"Content-Type": "application/json", **self._secret_headers},
                timeout=within_ms / 1000,
            )
        except (HTTPError, OSError) as error:
            return http.transport_failure(error, step, self._base_url)
        if response.status < http.ERROR_STATUS:
            return response.data
        return self._named_failure(response, response.data, step)

    def report(self):
        """Return an EngineReport or a Failure."""
        body = self._exchange("GET", "/admin/report", Step.REPORT, REPORT_WITHIN_MS)
        if isinstance(body, Failure):
            return body
        try:
            return cattrs.structure(json.loads(body), EngineReport)
        except Exception as error:
            detail = f"not a report: {error!r}"
            return Failure(Reason.BACKEND_ERROR, Step.REPORT, self._base_url, detail)
