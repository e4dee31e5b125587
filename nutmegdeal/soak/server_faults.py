"""Faulty and suspended servers of the soak test, and odd registrations."""

import json
import time

import gevent

from nutmegdeal.soak.fault_records import SUSPENSION_KIND, FaultRecord

# Refusals in a row of each server of a service, and for how long they come.
REFUSALS_MAX = 2
REFUSING_S = (0.05, 0.4)
PAUSE_S = (0.2, 1.0)
# For how long a server is suspended, and the time from one suspension to the next.
SUSPENDED_S = (1.5, 3.5)
SUSPENSION_PAUSE_S = (0.2, 0.8)
# Servers that are suspended at the same time.
SUSPENDED_MAX = 2
LARGE = 10**400
NESTED = "[" * 20_000
ODD_FIELDS = (
    {"slots": LARGE},
    {"born": LARGE},
    {"address": "127.0.0.1:70000"},
    {"zone": ["a"]},
    {"state": None},
    {"version": "v" * 20_000},
    {"models": [{"adapters": ["a1@" + "9" * 30]}]},
)


class ServerFaults:
    """Lets servers of a SoakSite repeat refusals, and others write odd registrations.

    Parameters
    ----------
    site : SoakSite
    random_state : random.Random
    """

    def __init__(self, site, random_state):
        self._site = site
        self._random = random_state

    def repeat_refusals(self, duration_s):
        """Let all servers of a service refuse some requests, and repeat the answers."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            backends = self._random.choice((self._site.engines, self._site.servers))
            for backend in backends:
                backend.faults.repeats_refusals = True
                backend.refusals_pending += self._random.randint(1, REFUSALS_MAX)
            gevent.sleep(self._random.uniform(*REFUSING_S))
            for backend in backends:
                backend.faults.repeats_refusals = False
                backend.refusals_pending = 0
            gevent.sleep(self._random.uniform(*PAUSE_S))
        return "servers"

    def suspend(self, duration_s, records):
        """Suspend some servers at a time.

        What has reached a server runs when it goes on, also if its client has closed
        the connection meanwhile.

        Parameters
        ----------
        duration_s : float
        records : list of FaultRecord
            Gets a record of each suspension.
        """
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            count = self._random.randint(1, SUSPENDED_MAX)
            suspended_s = self._random.uniform(*SUSPENDED_S)
            started_s = time.monotonic()
            backends = self._random.sample(self._site.backends, count)
            for backend in backends:
                backend.faults.fall_silent(suspended_s * 1000)
            gevent.sleep(suspended_s)
            records += [
                FaultRecord(
                    SUSPENSION_KIND,
                    backend.backend_id,
                    started_s,
                    time.monotonic(),
                    is_planned=False,
                )
                for backend in backends
            ]
            gevent.sleep(self._random.uniform(*SUSPENSION_PAUSE_S))
        return "servers"

    def write_odd_entries(self, duration_s):
        """Write a registration that names no server, and remove it."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            backend = self._random.choice(self._site.backends)
            self._site.store.put("servers", "odd", self._draw_entry(backend))
            gevent.sleep(self._random.uniform(*PAUSE_S))
            self._site.store.remove("servers", "odd")
        return "registrations"

    def _draw_entry(self, backend):
        fields = self._random.choice((None, *ODD_FIELDS))
        if fields is None:
            return NESTED.encode()
        return json.dumps({**json.loads(backend.registration()), **fields}).encode()
