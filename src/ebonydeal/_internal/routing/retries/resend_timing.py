"""When a send without an answer is given up, and the request resent.

Ending a send discards the work done for it, and the request queues again elsewhere. If
all endpoints have long queues, that makes them longer. So a send ends early only if its
endpoint has probably stopped answering, or if another endpoint is expected to answer
sooner.
"""

from dataclasses import dataclass
from enum import StrEnum
from math import inf
from typing import NamedTuple

# Answers that an endpoint should have given this relay before its silence is evidence
# of a fault. Without any fault, none of 1.5 expected answers comes in one of five
# cases; a larger number leaves endpoints that hang later than one objective.
_MIN_MISSED_ANSWERS = 1.5
# Expected times are accurate to about a third, so another endpoint must be expected to
# answer that much sooner.
_MARGIN = 1.5
# Also by this many seconds: a resend costs a connection and a backoff.
_MIN_GAIN_S = 0.02
# A wait is checked again after this share of the patience, since loads, answers and the
# retry budget change. A check considers all endpoints of the service, so that more
# frequent ones would cost a small relay much of its time.
_RECHECK_SHARE = 0.5
_MIN_RECHECK_S = 0.05
# The shortest wait until a time at which the decision is expected to change.
_MIN_WAIT_S = 0.01


class ResendReason(StrEnum):
    """Why a send is given up before the deadline."""

    ENDPOINT_SILENT = "endpoint_silent"
    SOONER_ELSEWHERE = "sooner_elsewhere"


class SendProgress(NamedTuple):
    """What is known of a send that has no answer yet; times are in seconds.

    Attributes
    ----------
    waited_s : float
        Time since the send.
    patience_s : float
        Time since the send for which a silent endpoint is waited for.
    alive_patience_s : float
        The same for an endpoint that answers other requests.
    expected_s : float or None
        Time that was expected for the answer when the request was sent.
    alive : bool
        Whether the endpoint answered another request since the send.
    others_alive : bool
        Whether another endpoint of the service did.
    own_requests : int
        Requests of this relay at the endpoint after the send, with this one.
    other_expected_s : float or None
        Time in which a resend is expected to be answered; infinite if there is no
        endpoint for it, None if nothing is known.
    time_left_s : float
        Time until the deadline.
    can_resend : bool
        Whether the retry budget and the route permit another send.
    """

    waited_s: float
    patience_s: float
    alive_patience_s: float
    expected_s: float | None
    alive: bool
    others_alive: bool
    own_requests: int
    other_expected_s: float | None
    time_left_s: float
    can_resend: bool


@dataclass(frozen=True)
class KeepWaiting:
    """Wait ``seconds`` more, then decide again."""

    seconds: float


@dataclass(frozen=True)
class Resend:
    """Give up the send now, and send the request again."""

    reason: ResendReason


def decide(progress: SendProgress) -> KeepWaiting | Resend:
    """Return how much longer to wait, or that the request should be resent.

    A wait of 0 s means that the deadline has passed.
    """
    patience = progress.alive_patience_s if progress.alive else progress.patience_s
    if progress.waited_s < patience:
        return _wait(progress, patience - progress.waited_s)
    recheck = max(_MIN_RECHECK_S, patience * _RECHECK_SHARE)
    if not progress.can_resend or not _is_answered_in_time(progress):
        return _wait(progress, recheck)
    if not progress.alive:
        missing = _evidence_s(progress) - progress.waited_s
        if missing <= 0.0:
            return Resend(ResendReason.ENDPOINT_SILENT)
        recheck = min(recheck, missing)
    needed = _needed(progress)
    if _remaining(progress) > needed:
        return Resend(ResendReason.SOONER_ELSEWHERE)
    if progress.expected_s is not None:
        overdue_at = progress.expected_s + needed
        recheck = min(recheck, overdue_at - progress.waited_s + _MIN_WAIT_S)
    return _wait(progress, recheck)


def _wait(progress: SendProgress, seconds: float) -> KeepWaiting:
    """Return a wait that ends at the deadline."""
    seconds = max(_MIN_WAIT_S, seconds)
    return KeepWaiting(max(0.0, min(seconds, progress.time_left_s)))


def _is_answered_in_time(progress: SendProgress) -> bool:
    """Return whether a resend may still be answered before the deadline."""
    other = progress.other_expected_s
    return (0.0 if other is None else other) < progress.time_left_s


def _evidence_s(progress: SendProgress) -> float:
    """Return the seconds after which silence is evidence that an endpoint hangs.

    Requests are answered about in the order in which they came, so the relay's own
    ones at the endpoint should be answered evenly over the expected time. While no
    other endpoint answers either, only the request itself counts.
    """
    if progress.expected_s is None:
        return 0.0
    requests = progress.own_requests if progress.others_alive else 1
    return _MIN_MISSED_ANSWERS * progress.expected_s / max(1, requests)


def _remaining(progress: SendProgress) -> float:
    """Return the seconds until the answer is expected from the present endpoint.

    The longer a request is overdue, the longer it is expected to remain so.
    """
    if progress.expected_s is None:
        # An endpoint that answers others is in any case no worse than unknown ones.
        return 0.0 if progress.alive else inf
    return abs(progress.expected_s - progress.waited_s)


def _needed(progress: SendProgress) -> float:
    """Return the remaining time above which a resend gains enough, seconds."""
    other = progress.other_expected_s
    if other is None:
        return inf
    return other * _MARGIN + _MIN_GAIN_S
