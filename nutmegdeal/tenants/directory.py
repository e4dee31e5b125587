"""The tenants of a configuration, found by API key."""

import hashlib
import secrets

# Secret of this process: without it a digest in a memory dump tells nothing of its key.
_DIGEST_SECRET = secrets.token_bytes(32)
_DIGEST_BYTES = 16


def digest_key(key):
    """Return the digest (bytes) under which an API key (bytes) is looked up."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES, key=_DIGEST_SECRET).digest()


class TenantDirectory:
    """Finds tenants by API key; the keys themselves are not kept.

    The lookup compares keyed digests, so its duration does not depend on how much of a
    key is right.

    Parameters
    ----------
    tenants : iterable of (Tenant, iterable of bytes)
        Each with its API keys. If several have the same key, the first one holds it.
    """

    def __init__(self, tenants):
        self._by_name = {}
        self._by_digest = {}
        for tenant, keys in tenants:
            self._by_name.setdefault(tenant.name, tenant)
            for key in keys:
                self._by_digest.setdefault(digest_key(key), tenant)

    def __len__(self):
        return len(self._by_name)

    @property
    def tenants(self):
        """Return all tenants (tuple of Tenant)."""
        return tuple(self._by_name.values())

    def find(self, key):
        """Return the Tenant that holds an API key (bytes), or None."""
        return self._by_digest.get(digest_key(key)) if key else None

    def find_by_name(self, name):
        """Return the Tenant of a name, or None."""
        return self._by_name.get(name)
