"""Formats of the reports of model engines and of the orders to them."""

import json

import attrs

from nutmegdeal.platform.headers import TARGET_ID
from nutmegdeal.platform.rows import (
    DECODE_ERRORS,
    check_adapter,
    decode_adapters,
    decode_whole_number,
)

REPORT_PATH = "/report"
ORDER_PATH = "/order"
# Only one host sends orders to an engine as long as the engine exists, so the fencing
# token never has to increase.
FENCING_TOKEN = 1


@attrs.frozen
class EngineReport:
    """State of a model engine.

    Parameters
    ----------
    started_unix_ms : int
        Start of its incarnation in ms since 1970, 0 if it does not report it.
    order_count : int
        Orders that it has accepted since then.
    models : frozenset of str
        Loaded base models.
    resident, loading : frozenset of str
        Adapters that are loaded or being loaded, as ``name@version``.
    running_count, waiting_count : int
        Requests that run or wait in the engine.
    memory_used, memory_max : int
        Size of the key-value cache in use and in total, in tokens.
    is_changing_model : bool
        An order for a base model is being executed.
    is_leaving : bool
        The engine will exit and should get no new work.
    """

    started_unix_ms: int
    order_count: int
    models: frozenset[str]
    resident: frozenset[str]
    loading: frozenset[str]
    running_count: int
    waiting_count: int
    memory_used: int
    memory_max: int
    is_changing_model: bool
    is_leaving: bool = False


def decode_report(body, is_leaving=False):
    """Return the EngineReport in an answer, or None if it is not valid.

    Parameters
    ----------
    body : bytes
    is_leaving : bool
        What the headers of the answer say of the engine.
    """
    try:
        data = json.loads(body)
        models = data["models"]
        return EngineReport(
            started_unix_ms=decode_whole_number(data.get("born") or 0),
            # "sequence" counts the accepted orders.
            order_count=decode_whole_number(data["sequence"]),
            models=frozenset(str(model["name"]) for model in models),
            resident=decode_adapters(models),
            # "pending" lists MODEL/NAME@VERSION.
            loading=frozenset(
                check_adapter(item.rpartition("/")[2])
                for item in data.get("pending") or ()
            ),
            running_count=decode_whole_number(data["running"]),
            waiting_count=decode_whole_number(data["waiting"]),
            memory_used=decode_whole_number(data["kv_used"]),
            memory_max=decode_whole_number(data["kv_total"]),
            is_changing_model=bool(data["busy"]),
            is_leaving=is_leaving,
        )
    except DECODE_ERRORS:
        return None


def encode_order(order, holder, expected_count):
    """Return the body of an order (bytes).

    Parameters
    ----------
    order : nutmegdeal.placer.orders.Order
    holder : str
        Name of this host, the only one that sends orders to this engine.
    expected_count : int
        `EngineReport.order_count` at which the order is valid.
    """
    data = {
        "operation": order.operation.value,
        "model": order.model,
        "expected": expected_count,
        "holder": holder,
        "fencing_token": FENCING_TOKEN,
    }
    if order.adapter:
        data["adapter"] = order.adapter
    if order.version is not None:
        data["version"] = order.version
    return json.dumps(data).encode()


def encode_order_headers(order):
    """Return the headers of an order, a list of (bytes, bytes).

    Any instance that gets the order may execute it unless it names one.
    """
    headers = [(b"content-type", b"application/json")]
    if order.target_id:
        headers.append((TARGET_ID, order.target_id.encode("latin-1")))
    return headers
