"""Reports of this agent's state to the entries on open streams."""

import attrs
import gevent

from nutmegdeal.agent.slots import SlotState
from nutmegdeal.messages import AgentReport, LoadHint, Urgency

REPORTS_VALID_FOR_COUNT = 4
PRESENT_STATES = (SlotState.RESIDENT, SlotState.LOADING, SlotState.QUEUED)


@attrs.define
class ReportedState:
    """What one stream has been told.

    Parameters
    ----------
    report : AgentReport
        The last full report.
    hint : LoadHint
        The last load told, in a report or alone.
    is_in_use : bool
        True if the entry has sent work since then.
    """

    report: AgentReport
    hint: LoadHint
    is_in_use: bool = False


def hint_of(report):
    """Return the LoadHint that says what an AgentReport says of the load."""
    return LoadHint(
        report.queued_count,
        report.running_count,
        round(report.queue_wait_ms),
        round(report.load_wait_ms),
    )


def has_changed(report, told):
    """Return whether a full report is due after the AgentReport `told`."""
    return (report.resident, report.generation, report.leaving) != (
        told.resident,
        told.generation,
        told.leaving,
    )


class Reporter:
    """Tells entries the state of this agent, by no more bytes than traffic calls for.

    A stream begins with an AgentReport and gets another when the adapters, the
    generation or `leaving` have changed; a change of load is told by a LoadHint, and
    only on streams that bring work.

    Parameters
    ----------
    board : Blackboard
    forecast : Forecast
    clock : Clock
    settings : AgentSettings
    """

    def __init__(self, board, forecast, clock, settings):
        self._board = board
        self._forecast = forecast
        self._clock = clock
        self._settings = settings
        self._told = {}

    def build(self):
        """Return the AgentReport of now."""
        board = self._board
        running_count = sum(board.running_by_adapter().values())
        valid_for_ms = self._settings.report_every_ms * REPORTS_VALID_FOR_COUNT
        return AgentReport(
            agent_id=board.agent_id,
            incarnation=board.incarnation,
            service=board.service,
            zone=board.zone,
            generation=board.generation,
            leaving=board.is_leaving,
            queued_count=len(board.waiting()),
            running_count=running_count,
            queue_wait_ms=round(self._forecast.queue_wait_ms(Urgency.NORMAL), 1),
            load_wait_ms=round(self._forecast.new_load_wait_ms(), 1),
            resident=tuple(sorted(board.slots.adapters_in(*PRESENT_STATES))),
            valid_until_unix_ms=self._clock.unix_ms() + valid_for_ms,
        )

    def open(self, session):
        """Send the report of now on a new stream."""
        self._report_to(session, self.build())

    def close(self, session):
        """Forget a stream."""
        self._told.pop(session, None)

    def note_submit(self, session):
        """Note that a stream brings work."""
        if session in self._told:
            self._told[session].is_in_use = True

    def report_to_all(self):
        """Send the report of now on all streams."""
        report = self.build()
        for session in tuple(self._told):
            self._report_to(session, report)

    def report_changes(self):
        """Send on each stream what has changed since it was last told."""
        report = self.build()
        hint = hint_of(report)
        for session, told in tuple(self._told.items()):
            if has_changed(report, told.report):
                self._report_to(session, report)
            elif told.is_in_use:
                self._hint_to(session, told, hint)

    def _report_to(self, session, report):
        self._told[session] = ReportedState(report, hint_of(report))
        session.send(report)

    def _hint_to(self, session, told, hint):
        told.is_in_use = False
        if hint != told.hint:
            told.hint = hint
            session.send(hint)

    def run(self):
        """Report changes until the greenlet is killed."""
        while True:
            gevent.sleep(self._settings.report_every_ms / 1000)
            self.report_changes()
