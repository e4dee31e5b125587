"""HTTP client of a model engine."""

import json

import cattrs
from urllib3.exceptions import HTTPError

from nutmegdeal.backends import http
from nutmegdeal.backends.base import EngineReport, ModelEngine
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.messages import URGENCY_RANK

LOAD_TIMEOUT_MS = 60_000
REPORT_TIMEOUT_MS = 2_000
SERVER_ERROR_STATUS = 500
# Most bytes of the answer to an order, and of a report, which names some adapters.
ADMIN_ANSWER_BYTES_MAX = 1_048_576

# Error codes with which an engine says that it did not do what it was asked.
NOT_APPLIED_REASONS = {
    "not_resident": Reason.NOT_FOUND,
    "old_fence": Reason.FENCED,
    "unauthenticated": Reason.UNAUTHENTICATED,
    "no_free_slot": Reason.QUEUE_FULL,
    "load_failed": Reason.LOAD_FAILED,
    "not_run": Reason.OVERLOADED,
}


class HttpModelEngine(ModelEngine):
    """HTTP client of one model engine.

    Parameters
    ----------
    base_url : str
    secret : str
        Bearer token sent with each call; "" if the engine doesn't check it.
    """

    def __init__(self, base_url, secret=""):
        self._base_url = base_url.rstrip("/")
        self._secret_headers = http.authorization_headers(secret)
        self._pool = http.new_connection_pool()
        # Answers to orders and reports name no attempt, so they need connections of
        # their own.
        self._admin_pool = http.new_connection_pool(ADMIN_ANSWER_BYTES_MAX)

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
        failure = self._build_failure(response, body, Step.DISPATCH)
        is_client_error = response.status < SERVER_ERROR_STATUS
        if is_client_error and failure.reason is Reason.BACKEND_ERROR:
            return http.BufferedAnswer(http.head_of(response), body)
        return failure

    def _build_failure(self, response, body, step):
        error_code = http.read_error_code(body)
        reason = NOT_APPLIED_REASONS.get(error_code)
        detail = f"status {response.status} {error_code}".rstrip()
        if reason is None:
            return Failure(
                Reason.BACKEND_ERROR, step, self._base_url, detail, maybe_applied=True
            )
        return Failure(reason, step, self._base_url, detail)

    def load(self, engine_name, fence):
        """Load an adapter; return None or a Failure."""
        return self._send_order("load", Step.LOAD, engine_name, fence)

    def unload(self, engine_name, fence):
        """Unload an adapter; return None or a Failure."""
        return self._send_order("unload", Step.EVICT, engine_name, fence)

    def _send_order(self, operation, step, engine_name, fence):
        body = json.dumps({"adapter": engine_name, "fence": fence})
        answer = self._exchange(
            "POST", f"/admin/{operation}", step, LOAD_TIMEOUT_MS, body.encode()
        )
        return answer if isinstance(answer, Failure) else None

    def _exchange(self, method, path, step, timeout_ms, body=None):
        """Return the body of an answer with a status below 400, or a Failure."""
        try:
            response = self._admin_pool.request(
                method,
                self._base_url + path,
                body=body,
                headers={"Content-Type": "application/json", **self._secret_headers},
                timeout=timeout_ms / 1000,
            )
        except (HTTPError, OSError) as error:
            return http.transport_failure(error, step, self._base_url)
        if response.status < http.ERROR_STATUS:
            return response.data
        return self._build_failure(response, response.data, step)

    def report(self):
        """Return an EngineReport or a Failure."""
        body = self._exchange("GET", "/admin/report", Step.REPORT, REPORT_TIMEOUT_MS)
        if isinstance(body, Failure):
            return body
        try:
            return cattrs.structure(json.loads(body), EngineReport)
        except Exception as error:
            detail = f"not a report: {error!r}"
            return Failure(Reason.BACKEND_ERROR, Step.REPORT, self._base_url, detail)
