"""Records the entry's events in the account (audit trail) of one request."""

import attrs

from nutmegdeal.accounts import Event, Outcome
from nutmegdeal.errors import Step


class RequestAccount:
    """Records the entry's events of one request.

    Parameters
    ----------
    recorder : Recorder
    blackboard : Blackboard
    request_id : str
    """

    def __init__(self, recorder, blackboard, request_id):
        self._recorder = recorder
        self._clock = blackboard.clock
        self._event_template = Event(
            request_id=request_id,
            at_unix_ms=0,
            process=blackboard.entry_id,
            incarnation=blackboard.incarnation,
            step=None,
            outcome="",
        )

    def set_target(self, generation, adapter):
        """Set the generation and adapter (AdapterRef or None) of all later events."""
        self._event_template = attrs.evolve(
            self._event_template,
            generation=generation,
            adapter=adapter.name if adapter else "",
            version=adapter.version if adapter else "",
        )

    def add_resolved(self, service, idempotency_key):
        """Record that the request was resolved to a service.

        Parameters
        ----------
        service : str
        idempotency_key : str
            Key of the ledger row; "" for an idempotent request.
        """
        event = attrs.evolve(
            self._event_template,
            at_unix_ms=self._clock.unix_ms(),
            step=Step.RESOLVE,
            outcome=Outcome.RESOLVED.value,
            service=service,
            idempotency_key=idempotency_key,
            detail=f"service {service}",
        )
        self._recorder.record(event)

    def add(self, step, outcome, attempt_id="", peer="", detail=""):
        """Record an event with the current time."""
        event = attrs.evolve(
            self._event_template,
            at_unix_ms=self._clock.unix_ms(),
            step=step,
            outcome=outcome,
            attempt_id=attempt_id,
            peer=peer,
            detail=detail,
        )
        self._recorder.record(event)

    def add_sent(self, attempt_id, peer, peer_incarnation):
        """Record that an attempt is about to be sent to an agent."""
        event = attrs.evolve(
            self._event_template,
            at_unix_ms=self._clock.unix_ms(),
            step=Step.SUBMIT,
            outcome=Outcome.SENT.value,
            attempt_id=attempt_id,
            peer=peer,
            peer_incarnation=peer_incarnation,
        )
        self._recorder.record(event)

    def add_failure(self, failure, attempt_id=""):
        """Record a Failure as an event of the step at which it arose."""
        self.add(
            failure.step,
            failure.reason.value,
            attempt_id,
            failure.peer,
            failure.detail,
        )

    def add_finish(self, finish):
        """Record the fate and failure that the caller receives."""
        failure = finish.failure
        peer = failure.peer if failure else ""
        detail = str(failure) if failure else ""
        self.add_answer(finish.fate.value, peer, detail)

    def add_answer(self, outcome, peer="", detail=""):
        """Record how the answer to the caller ended."""
        self.add(Step.ANSWER, outcome, "", peer, detail)
