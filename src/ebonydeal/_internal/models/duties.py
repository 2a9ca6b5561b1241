"""Answers to the calls that one node makes for all, and endpoints' reports."""

from typing import NamedTuple


class DutyAnswer(NamedTuple):
    """What the platform said of a call of a duty.

    ``conflict`` means a newer holder, or that nothing is to be had there.
    """

    accepted: bool
    conflict: bool
    detail: str


class RunReport(NamedTuple):
    """A request that an engine works on."""

    request_id: str
    tokens: int
    events: int
    urgency: int


class EndpointReport(NamedTuple):
    """An engine's state as of some hundred milliseconds ago."""

    queued: int
    active: int
    cache_used: int
    cache_total: int
    leaves_in: float | None
    runs: tuple[RunReport, ...]
