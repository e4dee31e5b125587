"""Parts of prompts that crash the stand-in for a model engine."""

import time

import attrs


def decode_shared_parts(value):
    """Return the ids of a prompt's parts but the last (list of str).

    Parameters
    ----------
    value : bytes or None
        ID:TOKENS pairs, separated by commas. The last part belongs to the request or
        session itself.
    """
    pairs = (value or b"").decode("latin-1").split(",")
    return [pair.strip().partition(":")[0].lower() for pair in pairs[:-1]]


@attrs.frozen
class CauseRecord:
    """One crash, or the arrival of one request that crashes servers.

    Parameters
    ----------
    cause, request_id : str
        The cause is the part of a prompt, or the target of the request.
    at_ms : float
        On the monotonic clock.
    """

    cause: str
    request_id: str
    at_ms: float


@attrs.define
class PromptCrashes:
    """Crashing parts of prompts and what they caused at one engine.

    Parameters
    ----------
    crashing_parts : set of str
        Ids in lower case.
    crashes, arrivals : list of CauseRecord
        Crashes, and requests with a crashing part that the engine received.
    """

    crashing_parts: set = attrs.field(factory=set)
    crashes: list = attrs.field(factory=list)
    arrivals: list = attrs.field(factory=list)

    @property
    def crash_count(self):
        """Return the number of crashes."""
        return len(self.crashes)

    def record_arrival(self, value, request_id):
        """Record a request if its prompt has a crashing part."""
        self._record(self.arrivals, value, request_id)

    def record_crash(self, value, request_id):
        """Record a crash if the prompt has a crashing part; return whether it has."""
        return self._record(self.crashes, value, request_id)

    def _record(self, records, value, request_id):
        shared_parts = decode_shared_parts(value)
        part_ids = [part for part in shared_parts if part in self.crashing_parts]
        if part_ids:
            now_ms = time.monotonic() * 1000
            records.append(CauseRecord(part_ids[0], request_id, now_ms))
        return bool(part_ids)
