"""Search for a backend server, including the waits for its adapter and for pacing."""

import attrs

from nutmegdeal.gateway.admission import (
    excess_wait_ms,
    load_due_ms,
    place_patience_ms,
    useful_until_ms,
)
from nutmegdeal.gateway.backend_selection import (
    LoadFirst,
    SendNow,
    has_free_slot,
    select_plain,
)
from nutmegdeal.gateway.blackboard import BASE_MODEL
from nutmegdeal.gateway.load_waits import LoadWait
from nutmegdeal.gateway.retries import has_further_server
from nutmegdeal.gateway.shutdown import STOPPING
from nutmegdeal.gateway.software_versions import join_wait_ms, select_members
from nutmegdeal.gateway.urgency import goes_first_at_server, request_rank

# A request that waits for an adapter repeats the search for an engine after this time.
RECHECK_AFTER_MS = 400.0
# Reason of a refusal: no server has the version of the stream, and none will.
VERSION_GONE = "stream_version_gone"
# Longest wait of a prompt for pacing, as a multiple of the latency target. After that
# it is sent anyway and waits in the engine's own queue.
GRANT_WAIT_TARGETS = 1.5


@attrs.frozen
class LoadRequest:
    """A request's demand for an adapter at the placer of one member.

    Parameters
    ----------
    link : PlacerLink
    wait : LoadWait
    """

    link: object
    wait: LoadWait

    def cancel(self):
        """Withdraw the demand."""
        self.link.cancel_load_request(self.wait)


@attrs.frozen
class NotFound:
    """No backend server can serve the request in time.

    Parameters
    ----------
    reason : str
    excess_ms : float
        By how much the adapter would be loaded too late, how long the first server
        will still be paused, when a server with a limit takes a further request, or how
        long streams may not begin at a software version yet; 0.0 if that is not known.
    """

    reason: str
    excess_ms: float = 0.0


class MemberSearch:
    """Applies `backend_selection` and `admission` to the current state.

    Parameters
    ----------
    board : Blackboard
    selector : EngineSelector
    links : PlacerLinks
    limits : LimitedServers
    random_state : random.Random
    """

    def __init__(self, board, selector, links, limits, random_state):
        self._board = board
        self._selector = selector
        self._links = links
        self._limits = limits
        self._random = random_state

    def find(self, request):
        """Find a backend server for a request and wait until it may be sent there.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Member or NotFound
        """
        board = self._board
        while True:
            # A shutdown that begins meanwhile brings it forward.
            until_ms = useful_until_ms(request)
            now_ms = board.clock.monotonic_ms()
            if self._is_ending(request, now_ms):
                return NotFound(STOPPING)
            usable = self._find_usable(request, now_ms)
            self._limits.record_withheld(request.service.name, now_ms)
            members = _find_candidates(request, usable)
            if not members:
                return self._explain_no_member(request, now_ms)
            if now_ms >= until_ms:
                return NotFound("too_late")
            try_find = (
                self._try_with_adapter if request.adapter else self._try_without_adapter
            )
            found = try_find(request, members, until_ms, now_ms)
            if found is not None:
                return found

    def _is_ending(self, request, now_ms):
        """Return whether a request may not be sent any more as the process ends."""
        return self._board.is_ending or now_ms >= request.send_until_ms

    def find_replacement(self, request, may_repeat=False):
        """Find a backend server that can take over a silent run.

        Parameters
        ----------
        request : Request
        may_repeat : bool, optional
            Whether servers that were superseded may run it again.

        Returns
        -------
        SendNow, LoadFirst or None
            LoadFirst if a server can do so once it has loaded the adapter.
        """
        now_ms = self._board.clock.monotonic_ms()
        if now_ms >= useful_until_ms(request):
            return None
        members = [
            item
            for item in self._find_usable(request, now_ms)
            if has_free_slot(item, now_ms)
        ]
        choice = None
        if has_further_server(request, is_running=True):
            untried = _find_untried(request, members)
            choice = self._choose_replacement(request, untried, now_ms)
        if choice is None and may_repeat:
            superseded = _find_superseded(request, members)
            choice = self._choose_replacement(request, superseded, now_ms)
        return choice

    def _choose_replacement(self, request, members, now_ms):
        if not members:
            return None
        if not request.adapter:
            member = self._select_without_adapter(request, members, now_ms)
            return SendNow(member) if member is not None else None
        choice = self._select_engine(request, members, now_ms)
        if not isinstance(choice, LoadFirst):
            return choice
        until_ms = useful_until_ms(request)
        is_late = excess_wait_ms(request, choice.member, until_ms, now_ms) > 0
        return None if is_late else choice

    def _find_usable(self, request, now_ms):
        """Return the Members that take new requests and may run this one."""
        members = self._board.membership.usable(request.service.name, now_ms)
        return select_members(request, members, self._board.software_versions, now_ms)

    def request_load(self, request, member):
        """Ask a member's placer for the adapter of a request.

        Returns
        -------
        LoadRequest or None
            To be cancelled when the wait ends; None without a placer.
        """
        link = self._links.link_to(member)
        if link is None:
            return None
        newest = self._board.versions.newest(request.adapter_key)
        wait = LoadWait(
            request.adapter,
            load_due_ms(request, member),
            request.deadline_ms,
            request_rank(request),
            request.has_events,
        )
        link.request_load(wait, newest)
        return LoadRequest(link, wait)

    def _explain_no_member(self, request, now_ms):
        """Return the NotFound of a service without a usable server."""
        if request.software_version is not None and self._is_version_gone(request):
            may_return = self._board.membership.may_version_return(
                request.service.name, request.software_version, now_ms
            )
            return NotFound("stream_version_away" if may_return else VERSION_GONE)
        wait_ms = self._join_wait_ms(request, now_ms)
        if wait_ms:
            return NotFound("stream_version_joining", wait_ms)
        return_ms = self._limits.plan_return(request.service.name, now_ms)
        if return_ms is not None:
            return NotFound("backends_limited", return_ms - now_ms)
        pause_end_ms = self._board.membership.pause_end_ms(request.service.name, now_ms)
        if pause_end_ms is None:
            return NotFound("no_backend")
        return NotFound("backends_unavailable", pause_end_ms - now_ms)

    def _join_wait_ms(self, request, now_ms):
        members = self._board.membership.usable(request.service.name, now_ms)
        return join_wait_ms(request, members, self._board.software_versions, now_ms)

    def _is_version_gone(self, request):
        """Return whether no server of the stream's version will take requests again."""
        return not any(
            member.backend.service == request.service.name
            and member.backend.software_version == request.software_version
            and not member.availability.is_leaving
            for member in self._board.membership.members.values()
        )

    def _try_without_adapter(self, request, members, until_ms, now_ms):
        """Return a Member for a request without an adapter, None to search again."""
        member = self._select_without_adapter(request, members, now_ms)
        if member is None:
            within_ms = min(until_ms - now_ms, RECHECK_AFTER_MS)
            self._board.waiters.wait(BASE_MODEL, within_ms)
        return member

    def _try_with_adapter(self, request, members, until_ms, now_ms):
        """Return a Member for a request with an adapter, None to search again.

        Returns NotFound if the adapter would be loaded too late.
        """
        choice = self._select_engine(request, members, now_ms)
        if isinstance(choice, LoadFirst):
            excess_ms = excess_wait_ms(request, choice.member, until_ms, now_ms)
            if not excess_ms and not precedes_queue(request, choice):
                self._wait_for_load(request, choice.member, now_ms)
                return None
            if choice.fallback is None and until_ms == request.send_until_ms:
                return NotFound(STOPPING)
            if choice.fallback is None:
                return NotFound("adapter_too_late", excess_ms)
            choice = SendNow(choice.fallback)
        self._request_copy(choice, request, now_ms)
        can_run = self._wait_for_grant(request, choice.member, now_ms)
        return choice.member if can_run else None

    def _select_without_adapter(self, request, members, now_ms):
        """Return the best Member for a request without an adapter, None if none."""
        if request.service.engine is not None:
            members = [member for member in members if member.has_model]
        zone = self._board.settings.zone
        return select_plain(members, zone, now_ms, self._random)

    def _select_engine(self, request, members, now_ms):
        adapter, versions = request.adapter, self._board.versions
        newest = versions.newest(request.adapter_key)
        patience_ms = place_patience_ms(request, now_ms)
        choice = self._selector.select(adapter, newest, members, now_ms, patience_ms)
        if not isinstance(choice, LoadFirst):
            return choice
        least = versions.least_allowed(request.adapter_key, self._board.clock.boot_ms())
        if least == newest:
            return choice
        older = self._selector.select(adapter, least, members, now_ms)
        if isinstance(older, LoadFirst):
            return choice
        return attrs.evolve(older, also_load=choice.member)

    def _request_copy(self, choice, request, now_ms):
        if choice.also_load is None:
            return
        link = self._links.link_to(choice.also_load)
        if link is not None:
            newest = self._board.versions.newest(request.adapter_key)
            link.request_copy(request.adapter, newest, now_ms)

    def _wait_for_load(self, request, member, now_ms):
        until_ms = min(request.deadline_ms, request.send_until_ms)
        within_ms = min(until_ms - now_ms, RECHECK_AFTER_MS)
        load_request = self.request_load(request, member)
        if load_request is not None:
            request.queued_at_id = member.backend_id
        try:
            self._board.waiters.wait(request.adapter, within_ms)
        finally:
            if load_request is not None:
                load_request.cancel()
        request.waited_ms += self._board.clock.monotonic_ms() - now_ms

    def _wait_for_grant(self, request, member, now_ms):
        """Wait until the prompt may be sent to the engine.

        Returns
        -------
        bool
            False if the engine can no longer run the request, or the process ends.
        """
        link = self._links.link_to(member)
        if link is None or not request.prompt_tokens:
            return True
        arrived_ms = request.incoming.arrived_ms
        due_ms = arrived_ms + request.route.target_ms
        wait_end_ms = arrived_ms + GRANT_WAIT_TARGETS * request.route.target_ms
        until_ms = min(wait_end_ms, request.deadline_ms, request.send_until_ms)
        link.wait_for_grant(
            request.prompt_tokens,
            due_ms,
            until_ms,
            request_rank(request),
            request.has_events,
        )
        waited_until_ms = self._board.clock.monotonic_ms()
        request.paced_ms += waited_until_ms - now_ms
        if self._is_ending(request, waited_until_ms):
            return False
        if not member.is_usable(waited_until_ms):
            return False
        if not request.adapter:
            return True
        # It may have been evicted or superseded meanwhile.
        least = self._board.versions.least_allowed(
            request.adapter_key, self._board.clock.boot_ms()
        )
        return member.holds(request.adapter, least)


def precedes_queue(request, choice):
    """Return whether a full engine serves a request before the others that wait."""
    return choice.fallback is not None and goes_first_at_server(request)


def _find_untried(request, members):
    return [item for item in members if item.backend_id not in request.tried_ids]


def _find_superseded(request, members):
    return [item for item in members if item.backend_id in request.superseded_ids]


def _find_candidates(request, members):
    """Return the members that may run a request which does not run now."""
    superseded = _find_superseded(request, members)
    if not has_further_server(request, is_running=False):
        return superseded
    return _find_untried(request, members) or superseded or members
