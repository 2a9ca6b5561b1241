"""What is refused because it crashed endpoints, and from how many crashes on."""

from enum import StrEnum
from typing import NamedTuple

from ebonydeal._internal.settings.policy import PolicySettings


class QuarantineStatus(StrEnum):
    """Whether crashes are attributed to a request, or to a part of its prompt."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class QuarantinedRequest(NamedTuple):
    """A request that is refused, and the endpoints that it crashed."""

    digest: str
    endpoints: tuple[str, ...]


class QuarantinedPartsKey(NamedTuple):
    """Prompt parts, and the accounts whose requests with all of them are refused.

    ``accounts`` is empty for all accounts.
    """

    parts: tuple[str, ...]
    accounts: tuple[str, ...]


class QuarantineConfig(NamedTuple):
    """When a request is quarantined, and for how long.

    Attributes
    ----------
    crash_threshold : int
        Endpoints that a request may crash before it is refused; 0 is off, for parts
        of prompts too.
    retention_s : float
        Seconds for which a crash is remembered.
    part_crash_threshold : int
        Endpoints that may crash under requests with one part of their prompts before
        these are refused; 0 is off.
    """

    crash_threshold: int = 3
    retention_s: float = 1800.0
    part_crash_threshold: int = 4

    @classmethod
    def from_config(cls, cfg: PolicySettings) -> "QuarantineConfig":
        """Build from settings."""
        return cls(
            cfg.quarantine_crashes, cfg.quarantine_s, cfg.quarantine_part_crashes
        )
