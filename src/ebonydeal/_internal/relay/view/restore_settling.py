"""How long a table may lack rows after the store came back from a copy."""

from ebonydeal._internal.models.shared import era_of
from ebonydeal._internal.utils.clock import Clock

# By then the operator and endpoints have written again what the store has lost, and
# entries of endpoints that left in the lost time have expired.
_SETTLE_S = 5.0


class RestoreSettling:
    """Tells when a restored table is complete again.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._era = 0
        self._ends_at: float | None = None

    @property
    def is_settling(self) -> bool:
        """Whether the table may still lack rows."""
        return self._ends_at is not None

    def observe(self, version: int) -> None:
        """Note a version of the table; a newer era begins a settling time."""
        if era_of(version) > self._era:
            self._era = era_of(version)
            self._ends_at = self._clock.now() + _SETTLE_S

    def take_end(self) -> bool:
        """Return once whether the settling time has ended."""
        if self._ends_at is None or self._clock.now() < self._ends_at:
            return False
        self._ends_at = None
        return True
