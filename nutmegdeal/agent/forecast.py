"""Expected waits at this agent, for admission, reports and retry times."""

from nutmegdeal.agent.attempts import AttemptState
from nutmegdeal.agent.loads import LoadArrivalEstimate
from nutmegdeal.agent.slots import SlotState
from nutmegdeal.messages import URGENCY_RANK

# A wait is expected to last as long again as it has lasted so far.
ELAPSED_WAIT_FACTOR = 2.0


class Forecast:
    """Estimates waits from the queue, the slots and the load budget.

    Parameters
    ----------
    board : Blackboard
    planner : Planner
    load_times : LoadTimes
    clock : Clock
    """

    def __init__(self, board, planner, load_times, clock):
        self._board = board
        self._planner = planner
        self._load_times = load_times
        self._clock = clock

    def queue_wait_ms(self, urgency):
        """Return the expected wait for a place in the batch (float)."""
        board = self._board
        running_count = sum(board.running_by_adapter().values())
        ahead_count = self.ahead_count(urgency)
        excess_count = max(0, ahead_count + 1 + running_count - board.batch_size_max)
        return excess_count / board.batch_size_max * board.mean_run_ms

    def ahead_count(self, urgency):
        """Return the number of waiting requests that are at least as urgent.

        Requests whose adapter is not resident are not counted.
        """
        rank = URGENCY_RANK[urgency]
        resident = self._board.slots.adapters_in(SlotState.RESIDENT)
        return sum(
            URGENCY_RANK[attempt.submit.urgency] <= rank
            for attempt in self._board.attempts.values()
            if attempt.state is AttemptState.WAITING
            and (not attempt.adapter or attempt.adapter in resident)
        )

    def load_wait_ms(self, item):
        """Return the expected wait until a request's adapter is loaded (float).

        Parameters
        ----------
        item : WaitingRequest
        """
        if not item.adapter:
            return 0.0
        now_ms = self._clock.monotonic_ms()
        state = self._board.slots.state(item.adapter)
        if state is SlotState.RESIDENT:
            return 0.0
        if state is SlotState.LOADING:
            elapsed_ms = now_ms - self._board.slots.changed_ms(item.adapter)
            return max(0.0, self._load_times.load_ms - elapsed_ms)
        waiting = [attempt.waiting_request for attempt in self._board.waiting()]
        present = self._board.slots.adapters_in(SlotState.RESIDENT, SlotState.LOADING)
        order = self._planner.queue_order.order_loads([*waiting, item], present, now_ms)
        ahead = order[: order.index(item.adapter)]
        estimate = self._estimate_arrival(item.adapter, len(ahead), now_ms)
        elapsed_wait_ms = _longest_wait_ms(waiting, {*ahead, item.adapter}, now_ms)
        return max(
            estimate.arrival_ms(now_ms) - now_ms, elapsed_wait_ms * ELAPSED_WAIT_FACTOR
        )

    def new_load_wait_ms(self):
        """Return the expected wait for an adapter that no request waits for yet."""
        now_ms = self._clock.monotonic_ms()
        queued_count = len(self._board.slots.adapters_in(SlotState.QUEUED))
        return (
            self._estimate_arrival("", queued_count, now_ms).arrival_ms(now_ms) - now_ms
        )

    def _estimate_arrival(self, adapter, ahead_count, now_ms):
        return LoadArrivalEstimate(
            self._planner.budget.next_start_ms(now_ms),
            ahead_count,
            self._load_times.gap_ms,
            self._load_times.load_ms,
            self._planner.backoff.retry_at_ms(adapter),
        )


def _longest_wait_ms(waiting, adapters, now_ms):
    """Return the longest time that a request has waited for one of `adapters`."""
    waits_ms = (now_ms - w.arrived_ms for w in waiting if w.adapter in adapters)
    return max(waits_ms, default=0.0)
