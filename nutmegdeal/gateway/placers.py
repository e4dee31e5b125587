"""Connections to the placers, which load and unload adapters at the model engines."""

import gevent
import gevent.event

from nutmegdeal.addresses import Address
from nutmegdeal.balancing.server_speed import PERCENT_USUAL
from nutmegdeal.engine_messages import (
    AdapterUnwanted,
    AdapterUse,
    AdapterUses,
    AdapterWanted,
    EngineChange,
    EngineLimits,
    EngineState,
    PromptAsked,
    PromptCancelled,
    PromptGranted,
)
from nutmegdeal.errors import Failure
from nutmegdeal.gateway.availability import LeavingSource
from nutmegdeal.gateway.blackboard import BASE_MODEL
from nutmegdeal.gateway.engine_places import EnginePlaces
from nutmegdeal.gateway.load_waits import LoadWaits
from nutmegdeal.gateway.members import PLACER_LOAD_VALID_MS
from nutmegdeal.log import get_logger
from nutmegdeal.site_configuration import split_adapter

logger = get_logger(__name__)

# Timeout for opening a stream: connecting takes a few ms, and a busy placer answers
# within 100 ms.
CONNECT_WITHIN_MS = 700
# Backoff between attempts to open a stream: a restarted placer listens within a second.
RECONNECT_INITIAL_MS = 100.0
RECONNECT_MAX_MS = 1_000.0
# The adapters in an engine's registration may be from before a restart. They count as
# loaded only once its placer has been unreachable for this long.
TRUST_REGISTRATION_AFTER_MS = 1_000.0
# Pause between messages about the adapters in use; eviction averages over seconds.
USE_REPORT_EVERY_MS = 250.0
# Least time between two requests for a copy of the same version of an adapter.
COPY_REQUEST_INTERVAL_MS = 1_500.0
# A copy that is not loaded within this time is no longer needed.
COPY_DEADLINE_MS = 3_000.0


class PlacerLink:
    """The stream to the placer beside one member.

    Parameters
    ----------
    member : Member
    board : Blackboard
    client : ChannelClient
    port : int
        TCP port of the placer.
    """

    def __init__(self, member, board, client, port):
        self.member = member
        self._board = board
        self._client = client
        self._address = Address(member.backend.host, port)
        self._session = None
        self._sent_limits = None
        self._follows_changes = False
        self._load_waits = LoadWaits()
        self._copies_requested_ms = {}
        self._running_counts = {}
        self._started_counts = {}
        self._longest_gaps_ms = []
        self._reported_uses = False
        self._prompt_number = 0
        self._prompts = {}

    def run(self):
        """Keep a stream open, reconnecting after failures, until killed."""
        pause_ms = RECONNECT_INITIAL_MS
        started_ms = self._board.clock.monotonic_ms()
        try:
            while True:
                self._wait_for_engine()
                session = self._client.connect(self._address, CONNECT_WITHIN_MS)
                if isinstance(session, Failure):
                    pause_ms = min(pause_ms * 2, RECONNECT_MAX_MS)
                    waited_ms = self._board.clock.monotonic_ms() - started_ms
                    if waited_ms >= TRUST_REGISTRATION_AFTER_MS:
                        self._trust_registration()
                else:
                    pause_ms = RECONNECT_INITIAL_MS
                    self._serve_guarded(session)
                gevent.sleep(pause_ms / 1000)
        finally:
            if self._session is not None:
                self._session.close()

    def _wait_for_engine(self):
        """Wait until the member's service has engines in the configuration."""
        if self._build_limits() is not None:
            return
        logger.info("placer_unused", backend=self.member.backend_id)
        while self._build_limits() is None:
            gevent.sleep(RECONNECT_MAX_MS / 1000)

    def _build_limits(self):
        """Return the EngineLimits in force, None if the service has no engines."""
        backend = self.member.backend
        capacity = self._board.engine_capacity_for(backend.service)
        if capacity is None:
            return None
        return EngineLimits(
            model=capacity.model,
            adapter_slots_max=capacity.adapter_slots_max,
            gap_target_ms=self._board.shortest_gap_target_ms(backend.service),
            backend_id=self.member.backend_id,
            backend_started_unix_ms=backend.started_unix_ms,
        )

    def update_limits(self):
        """Send the limits of the engine, if they are not those sent last."""
        limits = self._build_limits()
        if self._session is None or limits in (None, self._sent_limits):
            return
        self._sent_limits = limits
        self._session.send(limits)

    def _trust_registration(self):
        """Use the registered adapters until a placer reports the loaded ones."""
        member = self.member
        if member.is_registration_trusted or member.has_been_linked:
            return
        member.trust_registration()
        logger.info("registration_believed", backend=member.backend_id)
        self._board.waiters.wake({*member.resident, BASE_MODEL})

    def _serve_guarded(self, session):
        """Serve a stream; a message that cannot be applied ends only this stream."""
        try:
            self._serve(session)
        except Exception:
            logger.exception("placer_link_crashed", backend=self.member.backend_id)

    def _serve(self, session):
        limits = self._build_limits()
        if limits is None:
            # The configuration changed while the stream was opened.
            session.close()
            return
        self._session = session
        self._follows_changes = False
        session.heartbeats_enabled = True
        self._sent_limits = None
        self.update_limits()
        logger.info("placer_connected", backend=self.member.backend_id)
        try:
            for message in session.messages():
                if isinstance(message, EngineState):
                    self._apply_state(message)
                elif isinstance(message, EngineChange):
                    self._apply_change(message)
                elif isinstance(message, PromptGranted):
                    self._release_prompt(message.number)
        finally:
            self._session = None
            self._longest_gaps_ms.clear()
            self.release_prompts()
            self.member.is_linked = False
            self.member.loading = frozenset()
            reason = str(session.close_reason)
            logger.info("placer_lost", backend=self.member.backend_id, reason=reason)
            session.close()

    def _apply_state(self, state):
        member = self.member
        known = member.backend.started_unix_ms
        is_other_incarnation = known and state.backend_started_unix_ms not in (0, known)
        member.is_reachable = state.is_reachable
        member.has_restarted = bool(is_other_incarnation)
        self._follows_changes = state.is_reachable and not is_other_incarnation
        if not self._follows_changes:
            return
        if not member.is_linked:
            member.is_linked = True
            member.has_been_linked = True
            self._board.waiters.wake(self._load_waits)
        if state.has_model and not member.has_model:
            self._board.waiters.wake((BASE_MODEL,))
        member.has_model = state.has_model
        if state.is_leaving:
            self._board.membership.record_leaving(member, LeavingSource.PLACER)
            self._board.waiters.wake(self._load_waits)
        before = set(member.resident)
        member.set_resident(state.resident)
        self._apply_load(state)
        self._board.waiters.wake(set(member.resident) - before)

    def _apply_change(self, change):
        if not self._follows_changes:
            return
        self.member.update_resident(change.added_adapters, change.removed_adapters)
        self._apply_load(change)
        self._board.waiters.wake(
            split_adapter(name)[0] for name in change.added_adapters
        )

    def _apply_load(self, message):
        """Apply the fields that an EngineState and an EngineChange have in common."""
        member, load = self.member, message.load
        member.loading = frozenset(message.loading)
        member.queued_count = load.queued_count
        member.gateway_count = load.gateway_count
        member.waiting_tokens = load.waiting_tokens
        if load.states_places:
            member.places = EnginePlaces(
                load.spare_count,
                load.in_time_count,
                load.place_interval_ms,
                load.late_interval_ms,
                load.resumed_count,
                load.urgent_rank,
            )
        member.record_load(
            load.running_count,
            load.waiting_count,
            self._board.clock.monotonic_ms(),
            PLACER_LOAD_VALID_MS,
        )

    def _release_prompt(self, number):
        granted = self._prompts.pop(number, None)
        if granted is not None:
            granted.set()

    def wait_for_grant(self, tokens, due_ms, until_ms, rank=0, is_resumed=False):
        """Wait until a prompt may be sent, at most until `until_ms`.

        Returns at once without a connected placer, as the engine also works without
        one.

        Parameters
        ----------
        tokens : int
            Length of the prompt.
        due_ms : float
            When the first event should be there, on the monotonic clock.
        until_ms : float
        rank : int, optional
            Urgency of the request; 0 is the most urgent.
        is_resumed : bool, optional
            The caller has events of the stream from an earlier attempt.
        """
        if self._session is None:
            return
        now_ms = self._board.clock.monotonic_ms()
        self._prompt_number += 1
        number = self._prompt_number
        granted = self._prompts[number] = gevent.event.Event()
        due_in_ms = max(0, int(due_ms - now_ms))
        self._session.send(PromptAsked(number, tokens, due_in_ms, rank, is_resumed))
        try:
            granted.wait(max(until_ms - now_ms, 0.0) / 1000)
        finally:
            if self._prompts.pop(number, None) and self._session is not None:
                self._session.send(PromptCancelled(number))

    def release_prompts(self):
        """End the waits of all prompts for their turns."""
        for number in list(self._prompts):
            self._release_prompt(number)

    def request_load(self, wait, version):
        """Ask the placer to load an adapter that a request waits for.

        `cancel_load_request` must be called when the request stops waiting.

        Parameters
        ----------
        wait : LoadWait
        version : int or None
            Least version needed, None for any.
        """
        adapter = wait.adapter
        places = self.member.places
        if places is not None and wait.is_resumed:
            places.resumed_count += not self._load_waits.has_resumed(adapter)
        count = self._load_waits.add(wait)
        if count == 1 and places is not None:
            # Until the placer's next message, which counts this demand.
            places.spare_count -= 1
            places.in_time_count += 1
        if self._session is None:
            return
        now_ms = self._board.clock.monotonic_ms()
        wanted = self._load_waits.build_wanted(wait, version or 0, now_ms)
        if wanted is not None:
            self._session.send(wanted)

    def cancel_load_request(self, wait):
        """Withdraw one request's demand for an adapter."""
        count = self._load_waits.remove(wait)
        if count > 0:
            return
        if self._session is not None and wait.adapter not in self.member.resident:
            self._session.send(AdapterUnwanted(wait.adapter))

    def request_copy(self, adapter, version, now_ms):
        """Ask the placer to load an adapter for later requests."""
        copy = (adapter, version)
        requested_ms = self._copies_requested_ms.get(copy)
        if (
            requested_ms is not None
            and now_ms - requested_ms < COPY_REQUEST_INTERVAL_MS
        ):
            return
        self._copies_requested_ms = {
            requested: at_ms
            for requested, at_ms in self._copies_requested_ms.items()
            if now_ms - at_ms < COPY_REQUEST_INTERVAL_MS
        }
        self._copies_requested_ms[copy] = now_ms
        if self._session is not None:
            within_ms = int(COPY_DEADLINE_MS)
            self._session.send(
                AdapterWanted(adapter, version or 0, within_ms, within_ms, 0)
            )

    def record_started(self, adapter):
        """Record that a request for an adapter is sent."""
        self._running_counts[adapter] = self._running_counts.get(adapter, 0) + 1
        self._started_counts[adapter] = self._started_counts.get(adapter, 0) + 1

    def record_ended(self, adapter):
        """Record that a request for an adapter has ended."""
        count = self._running_counts.get(adapter, 0) - 1
        if count > 0:
            self._running_counts[adapter] = count
            return
        self._running_counts.pop(adapter, None)
        if self.member.has_full_places:
            # Another adapter waits for the place.
            self.send_uses()

    def record_gap(self, longest_gap_ms):
        """Record the longest gap between events of a stream that has ended."""
        if self._session is not None:
            self._longest_gaps_ms.append(int(longest_gap_ms))

    def send_uses(self):
        """Report the adapters in use, unless there are none and were none last time."""
        adapters = self._running_counts.keys() | self._started_counts.keys()
        if self._session is None or not (adapters or self._reported_uses):
            return
        uses = tuple(
            AdapterUse(
                name,
                self._running_counts.get(name, 0),
                self._started_counts.get(name, 0),
            )
            for name in adapters
        )
        gaps_ms = tuple(self._longest_gaps_ms)
        self._started_counts.clear()
        self._longest_gaps_ms.clear()
        self._reported_uses = bool(uses)
        percent = self._work_time_percent()
        self._session.send(AdapterUses(uses, gaps_ms, percent))

    def _work_time_percent(self):
        """Return how long work takes at the engine, 0 if that is not known (int)."""
        speed = self.member.speed
        if not speed.service.is_stated or not speed.is_known:
            return 0
        return round(PERCENT_USUAL * speed.factor(self._board.clock.monotonic_ms()))


class PlacerLinks:
    """The streams of one gateway to all placers, by backend server.

    Parameters
    ----------
    board : Blackboard
    client : ChannelClient
    port : int
        TCP port on which every placer listens.
    """

    def __init__(self, board, client, port):
        self._board = board
        self._client = client
        self._port = port
        self._links = {}
        self._greenlets = {}

    def link_to(self, member):
        """Return the PlacerLink of a member, or None."""
        return self._links.get(member.backend_id)

    @property
    def gateway_count(self):
        """Return the highest gateway count that a placer reported, 0 if none did."""
        return max(
            (link.member.gateway_count for link in self._links.values()), default=0
        )

    def run(self):
        """Open streams to new members and report use on all streams, until killed."""
        while True:
            self._open_missing()
            for link in list(self._links.values()):
                link.update_limits()
                link.send_uses()
            gevent.sleep(USE_REPORT_EVERY_MS / 1000)

    def _open_missing(self):
        for member in list(self._board.membership.members.values()):
            if member.backend_id in self._links:
                continue
            if self._board.engine_capacity_for(member.backend.service) is None:
                continue
            link = PlacerLink(member, self._board, self._client, self._port)
            self._links[member.backend_id] = link
            self._greenlets[member.backend_id] = gevent.spawn(link.run)

    def drop(self, member):
        """Close the stream of a removed member."""
        link = self._links.get(member.backend_id)
        if link is None or link.member is not member:
            return
        del self._links[member.backend_id]
        self._greenlets.pop(member.backend_id).kill(block=False)

    def release_prompts(self):
        """End the waits of all prompts, as the process ends."""
        for link in self._links.values():
            link.release_prompts()

    def close(self):
        """Close all streams."""
        gevent.killall(list(self._greenlets.values()))
