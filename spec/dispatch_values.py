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


class Place(Enum):
    """Where an attempt is, at its endpoint."""

    IDLE = "idle"
    WIRE = "wire"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    STOPPED = "stopped"
    CLEARED = "cleared"


class Word(Enum):
    """What the sender learned of its attempt, and has not yet recorded."""

    SILENCE = "silence"
    PROOF = "proof"
    ANSWER = "answer"
    BROKEN = "broken"


class Told(Enum):
    """What the caller was told of the request's run."""

    NOTHING = "nothing"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Owner(NamedTuple):
    """A process that believes to own the shard at ``epoch`` (0: it doesn't).

    ``record`` and ``attempt`` are its view; ``sending`` is an attempt that it
    decided on but has not sent; ``waiting`` one that it did send.
    """

    epoch: int = 0
    record: Record = Record.NONE
    attempt: int = 0
    sending: int = 0
    waiting: int = 0
    word: Word = Word.SILENCE


class State(NamedTuple):
    """Journal, owners, endpoints and caller.

    ``runs`` counts fresh starts of the request; ``notice`` says that endpoint 1
    is going away; ``surprise`` that something failed without notice.
    """

    epoch: int
    record: Record
    attempt: int
    owners: tuple[Owner, ...]
    places: tuple[Place, Place]
    runs: int
    told: frozenset[Told]
    notice: bool
    gone: bool
    sent_to_leaving: bool
    surprise: bool
