"""Requests that wait for tokens."""

import attrs


@attrs.define(eq=False)
class Waiter:
    """A request that waits for tokens.

    Parameters
    ----------
    charge : float
    balance : TenantBalance
        Where it waits.
    on_decided : callable
        Called without arguments.
    is_granted : bool or None
        None until it is decided.
    """

    charge: float
    balance: object
    on_decided: object = lambda: None
    is_granted: bool | None = None

    def decide(self, is_granted):
        """Grant or refuse the tokens."""
        self.is_granted = is_granted
        self.on_decided()
