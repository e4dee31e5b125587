"""Reports of this agent's state to the entries on open streams."""

import attrs
import gevent

from nutmegdeal.agent.slots import SlotState
from nutmegdeal.messages import AgentReport, LoadHint, Urgency

# A report is valid for this many report intervals.
REPORTS_VALID_FOR_COUNT = 4
# Adapters in these states are reported as resident.
REPORTED_STATES = (SlotState.RESIDENT, SlotState.LOADING, SlotState.QUEUED)


@attrs.define
class ReportedState:
    """State of the agent as last reported on one stream.

    Parameters
    ----------
    report : AgentReport
        The last full report.
    hint : LoadHint
        The last load reported, in a full report or alone.
    is_in_use : bool
        True if the entry has sent a request since then.
    """

    report: AgentReport
    hint: LoadHint
    is_in_use: bool = False


def build_load_hint(report):
    """Return a LoadHint with the load in an AgentReport."""
    return LoadHint(
        report.queued_count,
        report.running_count,
        round(report.queue_wait_ms),
        round(report.load_wait_ms),
    )


def needs_full_report(report, last_report):
    """Return whether `report` differs from the last one in more than the load."""
    return (report.resident, report.generation, report.leaving) != (
        last_report.resident,
        last_report.generation,
        last_report.leaving,
    )


class Reporter:
    """Reports the agent's state to entries in as few bytes as their traffic needs.

    Every stream begins with an AgentReport and gets another when the adapters, the
    generation or `leaving` have changed. A change of load is reported by a LoadHint,
    and only on streams that carry requests.

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
        self._reported_states = {}

    def build(self):
        """Return the current AgentReport."""
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
            resident=tuple(sorted(board.slots.adapters_in(*REPORTED_STATES))),
            valid_until_unix_ms=self._clock.unix_ms() + valid_for_ms,
        )

    def open(self, session):
        """Send the current report on a new stream."""
        self._send_report(session, self.build())

    def close(self, session):
        """Stop reporting on a stream."""
        self._reported_states.pop(session, None)

    def mark_in_use(self, session):
        """Record that a stream carries requests."""
        if session in self._reported_states:
            self._reported_states[session].is_in_use = True

    def report_to_all(self):
        """Send the current report on all streams."""
        report = self.build()
        for session in tuple(self._reported_states):
            self._send_report(session, report)

    def report_changes(self):
        """Send on each stream what has changed since the last report on it."""
        report = self.build()
        hint = build_load_hint(report)
        for session, reported in tuple(self._reported_states.items()):
            if needs_full_report(report, reported.report):
                self._send_report(session, report)
            elif reported.is_in_use:
                self._send_hint(session, reported, hint)

    def _send_report(self, session, report):
        self._reported_states[session] = ReportedState(report, build_load_hint(report))
        session.send(report)

    def _send_hint(self, session, reported, hint):
        reported.is_in_use = False
        if hint != reported.hint:
            reported.hint = hint
            session.send(hint)

    def run(self):
        """Report changes until the greenlet is killed."""
        while True:
            gevent.sleep(self._settings.report_every_ms / 1000)
            self.report_changes()
