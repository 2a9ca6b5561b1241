"""A retry that is set aside before a step which may need it."""

from ebonydeal._internal.routing.retries.retries import RetryPolicy


class RetryReserve:
    """At most one retry, taken from a deployment's budget for one request.

    Parameters
    ----------
    retries : RetryPolicy
        Budgets.
    deployment : str
        The deployment whose budget applies.

    Attributes
    ----------
    held : bool
        Whether a retry is set aside.
    """

    def __init__(self, retries: RetryPolicy, deployment: str) -> None:
        self._retries = retries
        self._deployment = deployment
        self.held = False

    def take(self) -> bool:
        """Set a retry aside, if none is yet; return whether one is held."""
        self.held = self.held or self._retries.try_advance(self._deployment)
        return self.held

    def use(self) -> bool:
        """Return whether one was held; a send uses it."""
        was_held, self.held = self.held, False
        return was_held

    def release(self) -> None:
        """Return the retry to the budget, if one is held."""
        if self.use():
            self._retries.refund(self._deployment)
