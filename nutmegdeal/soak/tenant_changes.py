"""Changes of the soak test's tenants: revoked keys, lowered limits, sudden load."""

import time

import gevent

from nutmegdeal.soak.fault_records import STORE_LINK_KIND, FaultRecord
from nutmegdeal.soak.proxy import ProxyMode
from nutmegdeal.soak.tenants import LOW_RATE_PER_S, RATE_PER_S, TENANT_BOUNDS

# From a new key to the revocation of the one before it, and to the next new key.
KEY_PAUSE_S = (0.3, 1.5)
# For how long the store stays silent after a revocation: longer than keys may count.
SILENT_S = TENANT_BOUNDS["revoke_ms"] / 1000 + 2.0
# For how long the limit is low: gateways know of it, and a whole window follows.
LOW_LIMIT_S = TENANT_BOUNDS["revoke_ms"] / 1000 + TENANT_BOUNDS["quota_window_s"] + 1.0
SURGE_S = (TENANT_BOUNDS["quota_window_s"], TENANT_BOUNDS["quota_window_s"] + 4.0)
CALM_S = (0.5, 3.0)


class TenantChanges:
    """Changes the tenants of a SoakSite.

    Parameters
    ----------
    site : SoakSite
    random_state : random.Random
    records : list of FaultRecord
        Gets the times in which the store is silent.
    """

    def __init__(self, site, random_state, records):
        self._site = site
        self._random = random_state
        self._records = records

    def change_keys(self, duration_s):
        """Add and revoke keys, with and without a silent store."""
        end_s = time.monotonic() + duration_s
        # The link of one gateway, of all programs, or none.
        links = [self._site.last_gateway_proxy, None, self._site.store_proxy]
        turn = self._random.randrange(len(links))
        while time.monotonic() < end_s:
            self._site.tenants.add_key()
            self._site.put_configuration()
            self._site.tenants.start_use()
            gevent.sleep(self._random.uniform(*KEY_PAUSE_S))
            self._site.tenants.revoke_key()
            self._site.put_configuration()
            self._silence(links[turn % len(links)])
            turn += 1
            gevent.sleep(self._random.uniform(*KEY_PAUSE_S))
        return "keys"

    def _silence(self, link):
        if link is None:
            return
        started_s = time.monotonic()
        link.mode = ProxyMode.SILENT
        gevent.sleep(SILENT_S)
        link.mode = ProxyMode.PASS
        record = FaultRecord(
            STORE_LINK_KIND, "store", started_s, time.monotonic(), is_planned=False
        )
        self._records.append(record)

    def change_quotas(self, duration_s):
        """Lower and raise the limit of a tenant that sends many times its usual."""
        end_s = time.monotonic() + duration_s
        tenants = self._site.tenants
        while time.monotonic() < end_s:
            tenants.is_surging = True
            self._set_rate(LOW_RATE_PER_S)
            tenants.lowered_count += 1
            gevent.sleep(LOW_LIMIT_S)
            self._set_rate(RATE_PER_S)
            if time.monotonic() < end_s:
                gevent.sleep(self._random.uniform(*SURGE_S))
            tenants.is_surging = False
            gevent.sleep(self._random.uniform(*CALM_S))
        return "quotas"

    def _set_rate(self, rate_per_s):
        self._site.tenants.rate_per_s = rate_per_s
        self._site.put_configuration()
