"""Whether a backend server accepts new requests of this gateway.

A server that leaves says so in its registration and in its answers, and does not take
that back: only its next incarnation accepts requests again. A server that refuses a
request may ask this gateway for a pause. A server may limit the requests a second that
it takes; new ones then need a slot (`limit_slots`). A registration that comes from a
copy of the store may be of a server that is gone.
"""

import enum

import attrs

from nutmegdeal.gateway.limit_slots import OpenSlots

NEVER_MS = float("-inf")
# Intervals of silence after which the platform removes a registration, and the time
# within which it does so.
SILENT_INTERVALS = 3
REMOVAL_DELAY_MS = 2_000.0


class LeavingSource(enum.Enum):
    """How the gateway learned that a backend server leaves."""

    REGISTRATION = "registration"
    ANSWER = "answer"
    PLACER = "placer"


class LimitSource(enum.Enum):
    """How the gateway learned of a backend server's limit."""

    ANSWER = "answer"
    STORE = "store"


@attrs.define
class Availability:
    """What keeps new requests of this gateway away from one backend server.

    Parameters
    ----------
    is_leaving : bool
        The server will exit.
    paused_until_ms : float
        End of the pause that the server asked for, on the monotonic clock.
    unconfirmed_until_ms : float
        Until then the server, which was gone before, is known only from a copy of the
        store.
    limit_per_s : float or None
        Requests a second that the server takes from all gateways together, None for no
        limit.
    limit_stated_ms : float
        When the server last said so, on the monotonic clock.
    slots : OpenSlots
        Slots for requests while there is a limit.
    has_unusable_limit : bool
        The server has named a limit that is no number.
    """

    is_leaving: bool = False
    paused_until_ms: float = NEVER_MS
    unconfirmed_until_ms: float = NEVER_MS
    limit_per_s: float | None = None
    limit_stated_ms: float = NEVER_MS
    slots: OpenSlots = attrs.field(factory=OpenSlots)
    has_unusable_limit: bool = False

    def record_leaving(self):
        """Record that the server leaves; return whether that was not known."""
        was_leaving, self.is_leaving = self.is_leaving, True
        return not was_leaving

    def record_unusable_limit(self):
        """Record a limit that is no number; return whether it is the first one."""
        had_one, self.has_unusable_limit = self.has_unusable_limit, True
        return not had_one

    def record_limit(self, limit_per_s, stated_ms):
        """Record the server's limit, None for none; return whether it has changed."""
        has_changed = limit_per_s != self.limit_per_s
        self.limit_per_s, self.limit_stated_ms = limit_per_s, stated_ms
        if limit_per_s is None and has_changed:
            self.slots = OpenSlots()
        return has_changed

    def record_pause(self, pause_ms, now_ms):
        """Record that the server wants no requests for some time.

        Returns
        -------
        bool
            Whether it accepted requests before.
        """
        was_paused = now_ms < self.paused_until_ms
        self.paused_until_ms = max(self.paused_until_ms, now_ms + pause_ms)
        return not was_paused

    def record_unconfirmed(self, interval_ms, now_ms):
        """Record that a server that was gone is listed in a copy of the store.

        Without a sign of the server itself, the platform removes the registration
        during the time that is set here.

        Parameters
        ----------
        interval_ms : float
            Pause between two writes of a server's registration.
        now_ms : float
        """
        silent_ms = SILENT_INTERVALS * interval_ms + REMOVAL_DELAY_MS
        self.unconfirmed_until_ms = now_ms + silent_ms

    def record_confirmed(self):
        """Record that the server has written its registration itself."""
        self.unconfirmed_until_ms = NEVER_MS

    @property
    def is_limited(self):
        """Return whether the server limits the requests a second that it takes."""
        return self.limit_per_s is not None

    def accepts_requests(self, now_ms):
        """Return whether new requests may be sent to the server."""
        if self.is_limited and not self.slots.is_open(now_ms):
            return False
        return self._accepts_in_slot(now_ms)

    def _accepts_in_slot(self, now_ms):
        return (
            not self.is_leaving
            and now_ms >= self.paused_until_ms
            and now_ms >= self.unconfirmed_until_ms
        )

    def is_only_limited(self, now_ms):
        """Return whether the server would accept a request if there were a slot."""
        if not self.is_limited or self.slots.is_open(now_ms):
            return False
        return self._accepts_in_slot(now_ms)

    def try_use_slot(self, now_ms):
        """Use a slot for a request; return whether it may be sent."""
        return not self.is_limited or self.slots.try_take(now_ms)

    def is_only_paused(self, now_ms):
        """Return whether the server accepts requests once its pause has ended."""
        return (
            not self.is_leaving
            and now_ms < self.paused_until_ms
            and now_ms >= self.unconfirmed_until_ms
        )


@attrs.frozen
class DepartedBackend:
    """A backend server that is no longer a member.

    Parameters
    ----------
    backend : Backend
        Its last registration.
    is_leaving : bool
        It was known to leave.
    departed_ms : float
        When it was removed, on the monotonic clock.
    """

    backend: object
    is_leaving: bool
    departed_ms: float


def is_same_incarnation(backend, other):
    """Return whether two registrations are of the same start of a server."""
    return (
        backend.address == other.address
        and backend.service == other.service
        and backend.started_unix_ms == other.started_unix_ms
        and backend.software_version == other.software_version
    )


def is_earlier_incarnation(backend, known):
    """Return whether a registration is of an earlier start than the known one."""
    return 0 < backend.started_unix_ms < known.started_unix_ms
