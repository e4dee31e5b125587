"""Finds the backend server for a request, and waits until it may be sent there."""

import attrs

from nutmegdeal.gateway.admission import excess_wait_ms, useful_until_ms
from nutmegdeal.gateway.backend_selection import LoadFirst, SendNow, choose_plain
from nutmegdeal.gateway.blackboard import BASE_MODEL

# A request that waits for an adapter looks for another engine after this time.
RECHECK_AFTER_MS = 400.0
# Latency objectives that a prompt waits for its turn at most: the engine's own queue
# takes it then.
TURN_WAIT_TARGETS = 1.5


@attrs.frozen
class NotFound:
    """No backend server can be sent the request in time.

    Parameters
    ----------
    reason : str
    excess_ms : float
        Time after which it could have been, 0.0 if that is not known.
    """

    reason: str
    excess_ms: float = 0.0


class MemberSearch:
    """Applies the decisions of `choosing` and `admission` to what is known now.

    Parameters
    ----------
    board : Blackboard
    chooser : AdapterChooser
    links : PlacerLinks
    random_state : random.Random
    """

    def __init__(self, board, chooser, links, random_state):
        self._board = board
        self._chooser = chooser
        self._links = links
        self._random = random_state

    def find(self, request, last_event_ms):
        """Find the backend server for a request, and wait for its adapter and turn.

        Parameters
        ----------
        request : Request
        last_event_ms : float
            When the caller got the last part of the answer, 0.0 for none.

        Returns
        -------
        Member or NotFound
        """
        board = self._board
        until_ms = useful_until_ms(request, last_event_ms)
        while True:
            now_ms = board.clock.monotonic_ms()
            usable = board.membership.usable(request.service.name, now_ms)
            members = [
                item for item in usable if item.backend_id not in request.tried_ids
            ] or usable
            if not members:
                return NotFound("no_backend")
            if now_ms >= until_ms:
                return NotFound("too_late")
            try_find = (
                self._try_with_adapter if request.adapter else self._try_without_adapter
            )
            found = try_find(request, members, until_ms, now_ms)
            if found is not None:
                return found

    def _try_without_adapter(self, request, members, until_ms, now_ms):
        """Return a Member for a request without an adapter; None to look again."""
        member = self._choose_without_adapter(request, members, now_ms)
        if member is None:
            within_ms = min(until_ms - now_ms, RECHECK_AFTER_MS)
            self._board.waiters.wait(BASE_MODEL, within_ms)
        return member

    def _try_with_adapter(self, request, members, until_ms, now_ms):
        """Return a Member whose turn has come or a NotFound; None to look again."""
        choice = self._choose_engine(request.adapter, members, now_ms)
        if isinstance(choice, LoadFirst):
            excess_ms = excess_wait_ms(request, choice.member, until_ms, now_ms)
            if not excess_ms:
                self._wait_for_load(request, choice.member, now_ms)
                return None
            if choice.fallback is None:
                return NotFound("adapter_too_late", excess_ms)
            choice = SendNow(choice.fallback)
        self._request_copy(choice, request.adapter, now_ms)
        is_due = self._wait_for_turn(request, choice.member, now_ms)
        return choice.member if is_due else None

    def _choose_without_adapter(self, request, members, now_ms):
        """Return a Member for a request without an adapter, None if none is ready."""
        if request.service.engine is not None:
            members = [member for member in members if member.has_model]
        zone = self._board.settings.zone
        return choose_plain(members, zone, now_ms, self._random)

    def _choose_engine(self, adapter, members, now_ms):
        versions = self._board.versions
        newest = versions.newest(adapter)
        choice = self._chooser.choose(adapter, newest, members, now_ms)
        if not isinstance(choice, LoadFirst):
            return choice
        if not versions.allows_older(adapter, now_ms):
            return choice
        older = self._chooser.choose(adapter, None, members, now_ms)
        if isinstance(older, LoadFirst):
            return choice
        return attrs.evolve(older, also_load=choice.member)

    def _request_copy(self, choice, adapter, now_ms):
        if choice.also_load is None:
            return
        link = self._links.link_to(choice.also_load)
        if link is not None:
            newest = self._board.versions.newest(adapter)
            link.request_copy(adapter, newest, now_ms)

    def _wait_for_load(self, request, member, now_ms):
        link = self._links.link_to(member)
        within_ms = min(request.deadline_ms - now_ms, RECHECK_AFTER_MS)
        adapter = request.adapter
        if link is None:
            self._board.waiters.wait(adapter, within_ms)
        else:
            newest = self._board.versions.newest(adapter)
            due_ms = request.incoming.arrived_ms + request.route.target_ms
            link.request_load(adapter, newest, due_ms, request.deadline_ms)
            try:
                self._board.waiters.wait(adapter, within_ms)
            finally:
                link.cancel_load_request(adapter)
        request.waited_ms += self._board.clock.monotonic_ms() - now_ms

    def _wait_for_turn(self, request, member, now_ms):
        """Wait until the engine may read the prompt; return whether it still can."""
        link = self._links.link_to(member)
        if link is None or not request.prompt_tokens:
            return True
        arrived_ms = request.incoming.arrived_ms
        due_ms = arrived_ms + request.route.target_ms
        wait_end_ms = arrived_ms + TURN_WAIT_TARGETS * request.route.target_ms
        until_ms = min(wait_end_ms, request.deadline_ms)
        link.wait_for_turn(request.prompt_tokens, due_ms, until_ms)
        waited_until_ms = self._board.clock.monotonic_ms()
        request.paced_ms += waited_until_ms - now_ms
        is_held = member.holds(request.adapter, None) or not request.adapter
        return is_held and member.is_usable(waited_until_ms)
