"""Checks the API keys of requests, before anything else is done for them."""

import math

import attrs

from nutmegdeal.log import get_logger
from nutmegdeal.platform import headers as platform_headers
from nutmegdeal.tenants.access import Access

logger = get_logger(__name__)

# Reasons of refusals: 401 for the first two, 503 for the last one.
KEY_MISSING = "key_missing"
KEY_UNKNOWN = "key_unknown"
KEYS_NOT_CONFIRMED = "keys_not_confirmed"


@attrs.frozen
class KeyCheck:
    """Result of the check of one request.

    Parameters
    ----------
    incoming : IncomingRequest
        The request; where the configuration has tenants, without its key and with the
        name of its tenant. Nothing that is done later can reveal the key.
    tenant : Tenant or None
    refusal_reason : str
        ``""`` if the request may run.
    """

    incoming: object
    tenant: object = None
    refusal_reason: str = ""


def check_key(board, configuration, incoming):
    """Return the KeyCheck of a request.

    Parameters
    ----------
    board : Blackboard
    configuration : SiteConfiguration
        In force now.
    incoming : IncomingRequest
    """
    if configuration.tenants is None:
        return KeyCheck(incoming)
    host = platform_headers.decode_host(incoming.headers)
    route = configuration.find_route(host, incoming.path)
    key = platform_headers.decode_credential(incoming.headers)
    now_ms = board.clock.boot_ms()
    # A suspension since the arrival makes this later than the arrival, never earlier.
    arrived_ms = now_ms - (board.clock.monotonic_ms() - incoming.arrived_ms)
    # What no route serves is refused later, whatever its key.
    is_public = route is None or route.is_public
    decision = board.keys.decide(key, is_public, arrived_ms, now_ms)
    tenant = decision.tenant
    reason = ""
    if decision.access is Access.NOT_CONFIRMED:
        reason = KEYS_NOT_CONFIRMED
    elif decision.access is Access.REJECTED:
        reason = KEY_UNKNOWN if key else KEY_MISSING
    headers = platform_headers.replace_credential(
        incoming.headers, tenant.name if tenant is not None else None
    )
    return KeyCheck(attrs.evolve(incoming, headers=headers), tenant, reason)


class KeyStateLog:
    """Logs when keys become confirmed, and when they are no longer.

    Parameters
    ----------
    board : Blackboard
    """

    def __init__(self, board):
        self._board = board
        self._was_confirmed = None

    def update(self):
        """Log a change since the last call."""
        configuration = self._board.configuration
        if configuration is None or configuration.tenants is None:
            self._was_confirmed = None
            return
        now_ms = self._board.clock.boot_ms()
        is_confirmed = self._board.keys.is_confirmed(now_ms)
        if is_confirmed is self._was_confirmed:
            return
        if self._was_confirmed is None and not is_confirmed:
            # At the start, between the configuration and its confirmation.
            return
        self._was_confirmed = is_confirmed
        age_ms = self._board.keys.age_ms(now_ms)
        if is_confirmed:
            logger.info(
                "keys_confirmed",
                version=configuration.version,
                age_ms=_round_age(age_ms),
            )
            return
        logger.warning(
            "keys_not_confirmed",
            version=configuration.version,
            age_ms=_round_age(age_ms),
            is_row_malformed=self._board.keys.confirmation.is_blocked,
        )


def _round_age(age_ms):
    return round(age_ms, 1) if math.isfinite(age_ms) else None
