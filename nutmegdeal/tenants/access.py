"""Decides whether a request may run by its API key.

Designed for 300 gateways with 4,000 requests a second each, 100 tenants with some keys,
and 45,000 configurations a day. A decision costs one keyed digest, and a second one if
the configuration has changed since the request arrived. All times are in ms on the
boot-time clock, see `confirmation`.
"""

import collections
import enum

import attrs

from nutmegdeal.tenants.confirmation import Confirmation

# Share of `revoke_ms` for which keys count after a confirmation. With 5 s the rest is
# 1 s, for the error of clocks.
GRANT_SHARE = 0.8
# Share of `config_apply_ms` for which a key that is not known counts as wrong.
REJECT_SHARE = 0.9
# For how long keys that were replaced are kept, for requests that arrived before: a
# request is read for up to 18 s, see `CallerLimits`.
REPLACED_KEPT_MS = 20_000.0
# Most directories that are kept so; a storm has ten configurations a second.
REPLACED_MAX = 64


class Access(enum.Enum):
    """Decision on a request."""

    GRANTED = "granted"
    REJECTED = "rejected"
    NOT_CONFIRMED = "not_confirmed"


@attrs.frozen
class AccessLimits:
    """Longest time since the last confirmation for which a decision may be taken.

    Parameters
    ----------
    grant_ms : float or None
        For a known key, None for any time.
    reject_ms : float
        For a key that is missing or not known.
    """

    grant_ms: float | None
    reject_ms: float

    def decide(self, is_known, age_ms):
        """Return the Access of a request on a route that needs a key.

        Parameters
        ----------
        is_known : bool
            The key is in the configuration.
        age_ms : float
            From the last confirmation to the arrival of the request.
        """
        if is_known:
            is_granted = self.grant_ms is None or age_ms <= self.grant_ms
            return Access.GRANTED if is_granted else Access.NOT_CONFIRMED
        return Access.REJECTED if age_ms <= self.reject_ms else Access.NOT_CONFIRMED

    @property
    def shortest_ms(self):
        """Return the time after which the first kind of decision is not possible."""
        if self.grant_ms is None:
            return self.reject_ms
        return min(self.grant_ms, self.reject_ms)


def build_access_limits(bounds):
    """Return the AccessLimits for the platform's Bounds."""
    apply_ms = bounds.config_apply_ms or bounds.contact_ms
    grant_ms = None
    if bounds.revoke_ms is not None:
        grant_ms = GRANT_SHARE * bounds.revoke_ms
    return AccessLimits(grant_ms, REJECT_SHARE * apply_ms)


@attrs.frozen
class AccessDecision:
    """The decision on a request.

    Parameters
    ----------
    access : Access
    tenant : Tenant or None
        The holder of the key, also if it is not confirmed.
    """

    access: Access
    tenant: object = None


@attrs.frozen
class _ReplacedKeys:
    """Keys that were in force.

    Parameters
    ----------
    directory : TenantDirectory
    confirmed_ms : float
        Their last confirmation.
    until_ms : float
        When they were replaced.
    """

    directory: object
    confirmed_ms: float
    until_ms: float


class KeyRing:
    """The API keys in force at one gateway, and how recently they were confirmed.

    Parameters
    ----------
    limits : AccessLimits

    Attributes
    ----------
    directory : TenantDirectory or None
        None if requests need no key.
    confirmation : Confirmation
    """

    def __init__(self, limits):
        self.limits = limits
        self.directory = None
        self.confirmation = Confirmation()
        self._replaced = collections.deque(maxlen=REPLACED_MAX)

    def put_in_force(self, directory, now_ms):
        """Replace the keys by those of a newer configuration.

        Parameters
        ----------
        directory : TenantDirectory or None
        now_ms : float
        """
        if self.directory is not None:
            confirmed_ms = self.confirmation.confirmed_ms
            self._replaced.append(_ReplacedKeys(self.directory, confirmed_ms, now_ms))
        self.directory = directory

    def age_ms(self, now_ms):
        """Return the time since the last confirmation (float), infinity if none."""
        return now_ms - self.confirmation.confirmed_ms

    def is_confirmed(self, now_ms):
        """Return whether requests with a known key would be granted now."""
        if self.directory is None or self.limits.grant_ms is None:
            return True
        return self.age_ms(now_ms) <= self.limits.grant_ms

    def decide(self, key, is_public, arrived_ms, now_ms):
        """Return the AccessDecision on a request.

        Parameters
        ----------
        key : bytes
            Empty if the request has none.
        is_public : bool
            The route needs no key.
        arrived_ms : float
            When the first byte of the request arrived. Whatever is granted by it may
            run at any later time, as the request was sent before.
        now_ms : float
        """
        tenant, age_ms = self._find(key, arrived_ms, now_ms)
        access = self.limits.decide(tenant is not None, age_ms)
        if not is_public:
            return AccessDecision(access, tenant)
        # A key that may have been revoked names nobody.
        is_valid = access is Access.GRANTED
        return AccessDecision(Access.GRANTED, tenant if is_valid else None)

    def _find(self, key, arrived_ms, now_ms):
        """Return the Tenant that holds a key, and the age of the confirmation.

        A key counts that is in force now, or was when the request arrived; but if it
        can't be granted by the keys of then, those in force now decide.
        """
        age_ms = self.age_ms(arrived_ms)
        tenant = self.directory.find(key) if self.directory is not None else None
        if tenant is not None:
            return tenant, age_ms
        self._drop_old(now_ms)
        # The first directory that was replaced after the arrival was in force then.
        for replaced in self._replaced:
            if replaced.until_ms > arrived_ms:
                tenant = replaced.directory.find(key)
                replaced_age_ms = arrived_ms - replaced.confirmed_ms
                access = self.limits.decide(tenant is not None, replaced_age_ms)
                if access is Access.GRANTED:
                    return tenant, replaced_age_ms
                break
        return None, age_ms

    def _drop_old(self, now_ms):
        while self._replaced and (
            self._replaced[0].until_ms < now_ms - REPLACED_KEPT_MS
        ):
            self._replaced.popleft()
