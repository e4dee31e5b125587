"""Handles the streams of entries: their messages and their end."""

from nutmegdeal.accounts import Outcome
from nutmegdeal.agent.admission import AdmissionView, Refusal, admit
from nutmegdeal.agent.attempts import Attempt, AttemptState
from nutmegdeal.agent.dispatch import AttemptCancelled
from nutmegdeal.agent.replication_degree import advise_replication_degree
from nutmegdeal.agent.slots import SlotState
from nutmegdeal.errors import Failure, Reason, Step
from nutmegdeal.log import get_logger
from nutmegdeal.messages import Cancel, EntryHello, GenerationNotice, Submit

logger = get_logger(__name__)


class StreamHandler:
    """Handles the messages of each stream; called by the channel's server.

    Parameters
    ----------
    board : Blackboard
    forecast : Forecast
    reporter : Reporter
    configuration : ConfigurationController
    attempt_finalizer : AttemptFinalizer
    events : EventLog
    clock : Clock
    settings : AgentSettings
    """

    def __init__(
        self,
        board,
        forecast,
        reporter,
        configuration,
        attempt_finalizer,
        events,
        clock,
        settings,
    ):
        self._board = board
        self._forecast = forecast
        self._reporter = reporter
        self._configuration = configuration
        self._attempt_finalizer = attempt_finalizer
        self._events = events
        self._clock = clock
        self._settings = settings

    def accept(self, session):
        """Serve a stream until it is closed."""
        self._board.sessions.add(session)
        try:
            self._reporter.open(session)
            for message in session.messages():
                self._handle(session, message)
        finally:
            self._board.sessions.discard(session)
            self._reporter.close(session)
            self._cancel_attempts_of(session)

    def _handle(self, session, message):
        if isinstance(message, Submit):
            self.submit(session, message)
        elif isinstance(message, Cancel):
            self.cancel(message.attempt_id)
        elif isinstance(message, GenerationNotice):
            self._configuration.record_peer_generation(
                message.generation, message.manifest
            )
        elif isinstance(message, EntryHello):
            self._configuration.record_peer_generation(message.generation)
        else:
            logger.warning("unexpected_message", type=type(message).__name__)

    def submit(self, session, submit):
        """Admit an attempt to the queue, or refuse it."""
        self._reporter.mark_in_use(session)
        now_ms = self._clock.monotonic_ms()
        remaining_ms = submit.deadline_unix_ms - self._clock.unix_ms()
        attempt = Attempt(submit, session, now_ms, now_ms + remaining_ms)
        if submit.attempt_id in self._board.attempts:
            logger.warning("attempt_repeated", attempt=submit.attempt_id)
            return
        self._events.add_event(submit, Step.SUBMIT, Outcome.RECEIVED, session.peer)
        self._configuration.record_peer_generation(submit.generation)
        view = self._build_view(attempt)
        refusal = admit(submit, view, self._clock.unix_ms())
        attempt.replication_degree_hint = self._advise_degree(attempt, view)
        if isinstance(refusal, Refusal):
            retry_at_unix_ms = self._clock.unix_ms() + int(refusal.retry_after_ms)
            self._attempt_finalizer.refuse(attempt, refusal.failure, retry_at_unix_ms)
            return
        self._board.attempts[submit.attempt_id] = attempt
        self._events.add_event(submit, Step.QUEUE, Outcome.QUEUED)
        self._board.notify()

    def _build_view(self, attempt):
        board = self._board
        is_resident = (
            not attempt.adapter
            or board.slots.state(attempt.adapter) is SlotState.RESIDENT
        )
        is_servable = board.policy is not None and board.has_report
        return AdmissionView(
            peer=board.agent_id,
            configuration=board.configuration,
            is_leaving=board.is_leaving,
            has_policy=board.policy is not None,
            has_report=board.has_report,
            queued_count=len(board.waiting()),
            queue_max=self._settings.queue_max,
            queue_wait_ms=(
                self._forecast.queue_wait_ms(attempt.submit.urgency)
                if is_servable
                else 0.0
            ),
            load_wait_ms=(
                self._forecast.load_wait_ms(attempt.waiting_request)
                if is_servable
                else 0.0
            ),
            run_ms=board.mean_run_ms,
            may_dispatch=board.may_dispatch(self._clock.monotonic_ms()),
            needs_order=not is_resident,
            may_order=board.may_order,
        )

    def _advise_degree(self, attempt, view):
        if not attempt.adapter:
            return 0
        others = self._board.attempts.values()
        own_count = sum(other.adapter == attempt.adapter for other in others)
        return advise_replication_degree(
            view.queue_wait_ms,
            self._forecast.new_load_wait_ms(),
            own_count + 1,
            len(others) + 1,
        )

    def cancel(self, attempt_id):
        """Cancel an attempt: refuse it if it waits, stop it if it is idempotent.

        A non-idempotent attempt that was already sent runs to its end.
        """
        attempt = self._board.attempts.get(attempt_id)
        if attempt is None:
            return
        attempt.is_cancelled = True
        if attempt.state is AttemptState.WAITING:
            failure = Failure(
                Reason.CANCELLED, Step.CANCEL, self._board.agent_id, "not sent"
            )
            self._attempt_finalizer.refuse(attempt, failure)
            return
        is_stoppable = attempt.submit.idempotent
        if is_stoppable and attempt.state is AttemptState.DISPATCHED:
            attempt.greenlet.kill(AttemptCancelled, block=False)

    def _cancel_attempts_of(self, session):
        """Cancel all attempts of a stream that has ended."""
        for attempt in tuple(self._board.attempts.values()):
            if attempt.session is session:
                attempt.is_output_suppressed = True
                self.cancel(attempt.attempt_id)
