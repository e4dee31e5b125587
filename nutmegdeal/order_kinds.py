"""The kinds of orders to a model engine."""

import enum


class OrderKind(enum.Enum):
    """What an engine is ordered to do with a model or an adapter."""

    LOAD = "load"
    UNLOAD = "unload"
