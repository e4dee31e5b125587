"""Series of adapter versions of the soak test, and changed settings of gateways."""

import signal
import time

import gevent

# The adapters of the series, which callers ask for all the while.
SERIES_ADAPTERS = ("a0", "a1", "a2")
# All adapters in this test; so few that several engines hold each.
FEW_ADAPTERS = (*SERIES_ADAPTERS, "a3")
# Time from one version of an adapter to the next.
VERSION_PAUSE_S = (0.2, 6.0)
# Time from one reload of the settings to the next.
RELOAD_PAUSE_S = (1.0, 6.0)
# For how long engines leave orders unanswered and so keep older versions, and the
# time between two such spells.
UNANSWERED_S = (4.0, 10.0)
UNANSWERED_PAUSE_S = (0.2, 1.0)
# More orders than come in a spell.
UNANSWERED_MAX = 1_000
# Engines in this test, and the requests that each runs and queues; few, so that
# requests are refused and begin late.
ENGINE_COUNT = 4
BATCH_COUNT = 2
QUEUE_MAX = 2
# Rarer faults than in other runs, of which fewer act on the store: the time of the rule
# counts only while none does.
FAULT_INTERVAL_S = (0.2, 3.0)
WEIGHTS = {"store": 0.5, "store_link": 0.5, "store_copy": 0.5}


class AdapterChanges:
    """Writes versions of adapters to the store of a SoakSite; reloads gateways.

    Parameters
    ----------
    site : SoakSite
    random_state : random.Random
    """

    def __init__(self, site, random_state):
        self._site = site
        self._random = random_state

    def write_series(self, adapter, duration_s):
        """Write one version of an adapter after another."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            self._site.increment_version(adapter)
            gevent.sleep(self._random.uniform(*VERSION_PAUSE_S))
        return adapter

    def leave_orders_unanswered(self, duration_s):
        """Let random halves of the engines leave orders to load unanswered.

        These orders are never carried out.
        """
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            gevent.sleep(self._random.uniform(*UNANSWERED_PAUSE_S))
            engines = self._site.engines
            silent = self._random.sample(engines, len(engines) // 2)
            for engine in silent:
                engine.unanswered_pending = UNANSWERED_MAX
            gevent.sleep(self._random.uniform(*UNANSWERED_S))
            for engine in silent:
                engine.unanswered_pending = 0
                engine.delayed_orders.clear()
        return "engines"

    def reload_gateways(self, duration_s):
        """Write the settings of a random gateway again, and send it SIGHUP."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            gateway = self._random.choice(self._site.gateways)
            gateway.settings_path.write_bytes(gateway.settings_path.read_bytes())
            gateway.send(signal.SIGHUP)
            gevent.sleep(self._random.uniform(*RELOAD_PAUSE_S))
        return "gateways"
