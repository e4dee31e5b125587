"""HTTP client of a plain service."""

from nutmegdeal.backends import http
from nutmegdeal.backends.base import Backend
from nutmegdeal.errors import Failure, Reason, Step

UNAVAILABLE_STATUS = 503


class HttpPlainService(Backend):
    """HTTP client of one plain service.

    Parameters
    ----------
    base_url : str
    secret : str
        Bearer token sent with each call; "" if the service doesn't check it.
    """

    def __init__(self, base_url, secret=""):
        self._base_url = base_url.rstrip("/")
        self._secret_headers = http.authorization_headers(secret)
        self._pool = http.new_connection_pool()

    def call(self, submit):
        """Send a request; return a BackendAnswer or a Failure.

        Any response except a 503 with the error code ``not_run`` is the service's own
        answer.
        """
        headers = {
            "Content-Type": submit.content_type,
            **self._secret_headers,
        }
        if submit.idempotency_key:
            headers["Idempotency-Key"] = submit.idempotency_key
        response = http.send(self._pool, self._base_url, submit, headers)
        if isinstance(response, Failure):
            return response
        if response.status == UNAVAILABLE_STATUS:
            return self._read_refusal(response)
        return http.HttpAnswer(response, self._base_url)

    def _read_refusal(self, response):
        body = http.read_error_body(response, Step.DISPATCH, self._base_url)
        if isinstance(body, Failure):
            return body
        if http.read_error_code(body) == "not_run":
            detail = "the service says that it did not run the request"
            return Failure(Reason.OVERLOADED, Step.DISPATCH, self._base_url, detail)
        return http.BufferedAnswer(http.head_of(response), body)
