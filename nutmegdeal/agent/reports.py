"""Reports of this agent's state to the entries on open streams."""

import gevent

from nutmegdeal.agent.slots import SlotState
from nutmegdeal.messages import AgentReport, Urgency

REPORTS_VALID_FOR_COUNT = 4
PRESENT_STATES = (SlotState.RESIDENT, SlotState.LOADING, SlotState.QUEUED)


class Reporter:
    """Sends an AgentReport on each new stream, and again when it has changed.

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
        self._last_sent = None

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

    def report_to(self, session):
        """Send the report of now on one stream."""
        session.send(self.build())

    def report_to_all(self):
        """Send the report of now on all streams."""
        report = self.build()
        for session in tuple(self._board.sessions):
            session.send(report)

    def run(self):
        """Send reports until the greenlet is killed."""
        while True:
            gevent.sleep(self._settings.report_every_ms / 1000)
            self.report_to_all()
