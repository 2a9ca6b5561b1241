"""States of one non-idempotent request, for `spec.dispatch`."""

from enum import Enum
from typing import NamedTuple


class Record(Enum):
    """The last durable record of the request."""

    NONE = "none"
    ACCEPTED = "accepted"
    DISPATCHED = "dispatched"
    NOT_RUN = "not_run"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
    ENDED = "ended"


class AttemptState(Enum):
    """State of an attempt at its endpoint."""

    IDLE = "idle"
    WIRE = "wire"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    STOPPED = "stopped"
    CLEARED = "cleared"


class AttemptReport(Enum):
    """What the sender knows of its attempt and has not yet recorded."""

    SILENCE = "silence"
    PROOF = "proof"
    ANSWER = "answer"
    BROKEN = "broken"


class ReportedOutcome(Enum):
    """Outcome that was reported to the caller."""

    NOTHING = "nothing"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Owner(NamedTuple):
    """A process that believes that it owns the shard at ``epoch`` (0: it doesn't).

    ``record`` and ``attempt`` are its view; ``sending`` is an attempt that it
    has decided on but not sent; ``waiting`` is one that it has sent.
    """

    epoch: int = 0
    record: Record = Record.NONE
    attempt: int = 0
    sending: int = 0
    waiting: int = 0
    report: AttemptReport = AttemptReport.SILENCE


class State(NamedTuple):
    """Journal, owners, endpoints and caller.

    ``runs`` counts starts of the request from scratch; ``notice`` is whether
    endpoint 1 is leaving; ``unannounced_failure`` whether something failed without
    notice.
    """

    epoch: int
    record: Record
    attempt: int
    owners: tuple[Owner, ...]
    attempt_states: tuple[AttemptState, AttemptState]
    runs: int
    reported: frozenset[ReportedOutcome]
    notice: bool
    gone: bool
    sent_to_leaving: bool
    unannounced_failure: bool
