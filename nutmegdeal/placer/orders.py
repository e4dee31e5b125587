"""Orders to a model engine, and those that may still be executed."""

import attrs

from nutmegdeal.order_kinds import OrderKind

# Time in which an unanswered order may still be executed. The platform's documentation
# says seconds, its list of faults up to 12.
UNANSWERED_ORDER_MS = 13_000.0


@attrs.frozen
class Order:
    """An order to an engine.

    Parameters
    ----------
    operation : OrderKind
    model : str
    adapter : str
        ``""`` for the base model itself.
    version : int or None
        None for the newest.
    target_id : str
        Id of the instance that the order is for, "" for any at the address.
    """

    operation: OrderKind
    model: str
    adapter: str = ""
    version: int | None = None
    target_id: str = ""


@attrs.frozen
class _UnansweredOrder:
    """An order that may still be executed.

    Parameters
    ----------
    order : Order
    expected_count : int
        The engine executes the order only if it has accepted this many orders.
    until_ms : float
        When the order can no longer be executed, on the monotonic clock.
    """

    order: Order
    expected_count: int
    until_ms: float

    @property
    def adds_adapter(self):
        """Return whether it is a load of an adapter."""
        return self.order.operation is OrderKind.LOAD and bool(self.order.adapter)


@attrs.frozen
class AnsweredOrder:
    """An order with an answer that no report has shown to be true yet.

    The answer may be a second copy of an earlier one: on a connection, answers to
    orders and reports are told apart only by their sequence.

    Parameters
    ----------
    order : Order
    expected_count : int
        Orders that the engine had accepted when the order was sent.
    started_unix_ms : int
        Start of the incarnation that it was sent to.
    """

    order: Order
    expected_count: int
    started_unix_ms: int

    def is_settled(self, report):
        """Return whether an EngineReport shows that the order is no longer valid.

        Parameters
        ----------
        report : EngineReport
        """
        is_same_incarnation = report.started_unix_ms == self.started_unix_ms
        return is_same_incarnation and report.order_count > self.expected_count


class UnansweredOrders:
    """The unanswered orders to the engine at one address.

    The count at which an order is valid begins at 0 again whenever the engine restarts.
    An order that is void in one incarnation may therefore be executed in a later one,
    unless it names an instance and the later one has another id.
    """

    def __init__(self):
        self._items = []

    def __len__(self):
        return len(self._items)

    def record(self, order, expected_count, now_ms):
        """Record an order that was sent, and got no answer."""
        until_ms = now_ms + UNANSWERED_ORDER_MS
        self._items.append(_UnansweredOrder(order, expected_count, until_ms))

    def remove_expired(self, now_ms):
        """Remove the orders that can no longer be executed."""
        self._items = [item for item in self._items if now_ms < item.until_ms]

    def count_late_loads(self, order_count, engine_id):
        """Return how many adapters late orders may load one right after the other.

        Parameters
        ----------
        order_count : int
            Orders that the engine has accepted before them.
        engine_id : str
            Id of the present instance, "" if it is not known.
        """
        loads = 0
        while valid := self._find_valid(order_count, engine_id):
            loads += any(item.adds_adapter for item in valid)
            order_count += 1
        return loads

    def _find_valid(self, order_count, engine_id):
        """Return the items that an engine with this id executes at this count."""
        return [
            item
            for item in self._items
            if item.expected_count == order_count
            and (not engine_id or item.order.target_id in ("", engine_id))
        ]
