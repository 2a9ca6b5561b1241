"""What all client connections of a process may hold, and which one is closed.

Pure: the connections report what they hold, and are told to close.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, Protocol

# What an idle connection takes: its socket, transport, parser and task.
CONNECTION_BYTES = 16_384
# Once the budget is exceeded, connections are closed until this share is held, so that
# not every further byte needs a choice among all connections.
_SHARE_AFTER_CLOSING = 0.875
# Share for accepted requests. Beyond it they are refused before they run, and what
# remains is for requests that arrive and answers that are taken.
_ACCEPTED_SHARE = 0.5
# Share of the machine's memory for clients: the program itself, endpoints' answers and
# copies that are made on the way take the rest.
_MEMORY_SHARE = 0.25
# Share of the descriptors for sockets: the rest is for endpoints and other instances.
_DESCRIPTOR_SHARE = 0.75
# Descriptors that machines reserve for files.
_FILE_DESCRIPTORS = 200
_MIN_CONNECTIONS = 16
_BYTES_PER_MB = 1_000_000


class Phase(StrEnum):
    """What a connection is doing."""

    # It has no request, or not yet a whole head of one.
    IDLE = "idle"
    # A body arrives, or an answer isn't taken: it is the client's turn.
    CLIENT = "client"
    AT_WORK = "at work"


class CloseReason(StrEnum):
    """Why a connection was closed."""

    MEMORY = "memory"
    CONNECTIONS = "connections"


class BudgetedConnection(Protocol):
    """A connection as the budget sees it."""

    def phase(self) -> Phase:
        """Return what it is doing."""

    def abandon(self, reason: CloseReason, freed: Callable[[], None]) -> None:
        """Close it, whatever it holds; ``freed`` is called when that is free."""

    def pause_arrival(self) -> None:
        """Read nothing from the client until `resume_arrival`."""

    def resume_arrival(self) -> None:
        """Read from the client again."""


class BudgetConfig(NamedTuple):
    """Limits of all client connections together.

    Attributes
    ----------
    max_bytes : int
        Bytes that they hold.
    max_connections : int
        How many there are.
    """

    max_bytes: int
    max_connections: int

    @classmethod
    def of_machine(cls, memory_mb: float, max_descriptors: int) -> "BudgetConfig":
        """Return the limits for a machine's memory, MB, and descriptors."""
        sockets = max(0, max_descriptors - _FILE_DESCRIPTORS)
        return cls(
            round(memory_mb * _BYTES_PER_MB * _MEMORY_SHARE),
            max(_MIN_CONNECTIONS, round(sockets * _DESCRIPTOR_SHARE)),
        )

    @property
    def max_accepted_bytes(self) -> int:
        """Bytes that accepted requests hold."""
        return round(self.max_bytes * _ACCEPTED_SHARE)


@dataclass(slots=True, eq=False)
class Usage:
    """What one connection holds.

    Attributes
    ----------
    held : int
        Bytes beyond those of an idle connection.
    accepted : int
        Bytes of its accepted request.
    since : float
        When its oldest request began, or when it became idle, seconds.
    """

    conn: BudgetedConnection
    since: float
    held: int = 0
    accepted: int = 0


class ClientBudget:
    """What all client connections of a process hold.

    Parameters
    ----------
    cfg : BudgetConfig
        Limits.
    now : callable
        Returns monotonic seconds; also for the connections.
    """

    def __init__(self, cfg: BudgetConfig, now: Callable[[], float]) -> None:
        self._cfg = cfg
        self.now = now
        self._usages: set[Usage] = set()
        self._held = 0
        self._accepted = 0
        # Held by connections that are being closed, and whether others are paused.
        self._closing: dict[Usage, int] = {}
        self._is_paused = False

    @property
    def total(self) -> int:
        """Bytes that all connections hold."""
        return self._held + CONNECTION_BYTES * len(self._usages)

    @property
    def connections(self) -> int:
        """How many connections there are."""
        return len(self._usages)

    def open(self, conn: BudgetedConnection) -> Usage:
        """Add a connection; if there are too many, one is closed."""
        usage = Usage(conn, self.now())
        self._usages.add(usage)
        if self._is_paused:
            conn.pause_arrival()
        if len(self._usages) > self._cfg.max_connections:
            self._close(self._least_needed(usage), CloseReason.CONNECTIONS)
        self._enforce()
        return usage

    def close(self, usage: Usage) -> None:
        """Remove a connection that is closed."""
        if usage in self._usages:
            self._usages.remove(usage)
            self._held -= usage.held
            self.finish(usage)

    def accept(self, usage: Usage, size: int) -> bool:
        """Return whether a request of so many bytes may be accepted, and count it.

        One request alone always may.
        """
        if self._accepted and self._accepted + size > self._cfg.max_accepted_bytes:
            return False
        self._accepted += size - usage.accepted
        usage.accepted = size
        return True

    def finish(self, usage: Usage) -> None:
        """Note that a connection's accepted request has ended."""
        self._accepted -= usage.accepted
        usage.accepted = 0

    def resize(self, usage: Usage, held: int) -> None:
        """Set what a connection holds; if all hold too much, some are closed."""
        if usage not in self._usages:
            return
        grows = held > usage.held
        self._held += held - usage.held
        usage.held = held
        if grows:
            self._enforce()

    def _close(self, usage: Usage, reason: CloseReason) -> None:
        held = usage.held
        self.close(usage)
        self._closing[usage] = held
        usage.conn.abandon(reason, lambda: self._freed(usage))

    def _freed(self, usage: Usage) -> None:
        """Note that what a closed connection held is free."""
        self._closing.pop(usage, None)
        if self._is_paused and self._fits:
            self._is_paused = False
            for usage in self._usages:
                usage.conn.resume_arrival()

    @property
    def _fits(self) -> bool:
        """Whether there is room for all, also for what is being closed."""
        return self.total + sum(self._closing.values()) <= self._cfg.max_bytes

    def _pause(self) -> None:
        """Read nothing while closed connections still hold what others would add.

        One turn of the event loop reads from all connections that have sent something,
        and it takes a few turns to close one.
        """
        if self._is_paused or self._fits:
            return
        self._is_paused = True
        for usage in self._usages:
            if usage.conn.phase() is not Phase.AT_WORK:
                usage.conn.pause_arrival()

    def _least_needed(self, new: Usage) -> Usage:
        """Return the connection to close if there are too many with a new one.

        The one that has been without a request for longest, or else the oldest on whose
        client the process waits. Requests at work aren't closed for a new connection.
        """
        order = {Phase.IDLE: 0, Phase.CLIENT: 1, Phase.AT_WORK: 3}

        def rank(usage: Usage) -> tuple[int, float]:
            return 2 if usage is new else order[usage.conn.phase()], usage.since

        return min(self._usages, key=rank)

    def _enforce(self) -> None:
        """Close connections while all together hold too much.

        Those come first that hold much for a long time: a large request that has just
        come stays, and a client that takes no answers goes. Requests at work come last.
        """
        if self.total <= self._cfg.max_bytes:
            return
        now = self.now()

        def cost(usage: Usage) -> tuple[bool, float]:
            at_work = usage.conn.phase() is Phase.AT_WORK
            return at_work, -usage.held * (now - usage.since)

        goal = self._cfg.max_bytes * _SHARE_AFTER_CLOSING
        for usage in sorted(self._usages, key=cost):
            if self.total <= goal:
                break
            self._close(usage, CloseReason.MEMORY)
        self._pause()
