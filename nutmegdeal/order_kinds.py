"""The kinds of orders (load and unload) that model engines carry out."""

import enum


class OrderKind(enum.Enum):
    """What a model engine is told to do with a base model or an adapter."""

    LOAD = "load"
    UNLOAD = "unload"
