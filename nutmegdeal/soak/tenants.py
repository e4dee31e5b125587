"""Tenants of the soak test's callers, and what the store held of them over time."""

import json
import time

import attrs

# Bounds on keys and quotas. The slack is about ten requests, as for the users' tenants.
TENANT_BOUNDS = {
    "revoke_strict": True,
    "revoke_ms": 5_000,
    "config_apply_ms": 3_000,
    "quota_window_s": 8,
    "quota_overage": 0.1,
    "quota_slack": 8_000,
}
STEADY, LIMITED, ROTATING = "steady", "limited", "rotating"
STEADY_KEY, LIMITED_KEY = "key-steady", "key-limited"
# Keys that all configurations hold.
LASTING_KEYS = (STEADY_KEY, LIMITED_KEY)
# Key that no configuration ever holds.
STRANGE_KEY = "key-of-nobody"
# Tokens a second of the limited tenant, and the same where its limit is lowered. The
# callers send about 90,000 a second while it sends many times its usual.
RATE_PER_S = 8_000
LOW_RATE_PER_S = 800
PLAIN_TOKENS = 750
# Weights of the keys that a caller's requests have.
KEY_WEIGHTS = {STEADY: 6, LIMITED: 2, ROTATING: 4, "strange": 1, "missing": 1}
# Of the rotating tenant's keys, so many of the newest are in use, also revoked ones.
KEYS_IN_USE = 3
# What callers say of their tenant, which no server may see.
FORGED_HEADERS = [(b"x-tenant", b"forged"), (b"x_tenant", b"forged")]


@attrs.frozen
class HeldTenants:
    """The tenants in the store's configuration, from a time on.

    Parameters
    ----------
    from_s : float
        On the monotonic clock, after the store acknowledged them.
    holders : dict of str to str
        Names of the tenants that hold the keys.
    quotas : dict of str to (float, float)
        Rates a second and bursts of the limited tenants.
    """

    from_s: float
    holders: dict
    quotas: dict


def read_tenants(row, now_s):
    """Return the HeldTenants of a configuration (bytes)."""
    holders, quotas = {}, {}
    for tenant in json.loads(row).get("tenants", ()):
        for key in tenant["api_keys"]:
            # A key of several tenants belongs to the first one.
            holders.setdefault(key, tenant["name"])
        if tenant.get("rate_per_s"):
            quotas[tenant["name"]] = (tenant["rate_per_s"], tenant["burst"])
    return HeldTenants(now_s, holders, quotas)


class SoakTenants:
    """The tenants that the next configuration names, and the keys of requests.

    Attributes
    ----------
    history : list of HeldTenants
        All that the store held, the present one last.
    rate_per_s : int
        Of the limited tenant.
    is_surging : bool
        The limited tenant sends many times its usual.
    revoked_count, lowered_count : int
        Keys that were revoked, and times that the limit was lowered.
    """

    def __init__(self):
        self.history = []
        self.rate_per_s = RATE_PER_S
        self.is_surging = False
        self.revoked_count = 0
        self.lowered_count = 0
        self._issued = ["key-rotating-0"]
        self._valid = list(self._issued)

    def add_key(self):
        """Give the rotating tenant a further key; callers use it once it is stored."""
        self._valid.append(f"key-rotating-{len(self._issued)}")

    def start_use(self):
        """Let callers use the newest key."""
        self._issued.append(self._valid[-1])

    def revoke_key(self):
        """Take the oldest key from the rotating tenant."""
        self.revoked_count += 1
        self._valid.pop(0)

    def encode(self):
        """Return the tenants as in the operator's row (list of dict)."""
        quota = {"rate_per_s": self.rate_per_s, "burst": self.rate_per_s}
        quota |= {"unit": "tokens", "plain_tokens": PLAIN_TOKENS}
        return [
            {"name": STEADY, "api_keys": [STEADY_KEY], "priority": 0},
            {"name": ROTATING, "api_keys": list(self._valid), "priority": 1},
            # Not the first tenant with the steady one's key, so it does not hold it.
            {"name": LIMITED, "api_keys": [STEADY_KEY, LIMITED_KEY], **quota},
        ]

    def record(self, row):
        """Record the configuration (bytes) that the store now holds."""
        self.history.append(read_tenants(row, time.monotonic()))

    def draw_key(self, random_state):
        """Return the key (str) of a caller's next request, "" for none."""
        (name,) = random_state.choices(list(KEY_WEIGHTS), KEY_WEIGHTS.values())
        if name == ROTATING:
            return random_state.choice(self._issued[-KEYS_IN_USE:])
        return {
            STEADY: STEADY_KEY,
            LIMITED: LIMITED_KEY,
            "strange": STRANGE_KEY,
            "missing": "",
        }[name]


def build_key_headers(key):
    """Return the headers of a request with an API key (str), "" for none."""
    headers = [(b"x-credential", key.encode())] if key else []
    return headers + FORGED_HEADERS
