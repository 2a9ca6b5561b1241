"""Interfaces through which the relay uses the platform."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

from ebonydeal._internal.models.duties import DutyReply
from ebonydeal._internal.models.forwarding import (
    AnswerHead,
    ForwardedRequest,
    Member,
    MigrationReply,
    RouteTable,
    SendMetadata,
)
from ebonydeal._internal.models.rollouts import Phase, RolloutOrder
from ebonydeal._internal.models.shared import (
    RowChanges,
    RowWrite,
    SharedRow,
    TransactResult,
)

Pairs = Iterable[tuple[str, str]]


class Wire(Protocol):
    """Encoding of header blocks and rows, as the platform writes them."""

    config_table: str
    config_key: str
    members_table: str
    status_table: str

    def read_request(self, method: str, target: str, pairs: Pairs) -> ForwardedRequest:
        """Return a client's request; raises BAD_REQUEST."""

    def request_headers(
        self, req: ForwardedRequest, send: SendMetadata
    ) -> list[tuple[str, str]]:
        """Return the header block of one request to an endpoint."""

    def read_answer(self, status: int, pairs: Pairs) -> AnswerHead:
        """Return the head of an endpoint's answer."""

    def answered_request(self, headers: Mapping[str, str]) -> str:
        """Return the id of the request that an answer names; empty for none."""

    def table(self, row: SharedRow) -> RouteTable:
        """Return the configuration; raises BAD_DOCUMENT."""

    def member(self, row: SharedRow) -> Member:
        """Return a listed endpoint; raises BAD_DOCUMENT."""

    def rollout_service(self, key: str) -> str | None:
        """Return the service whose roll-out order a row holds, None for other rows."""

    def order(self, row: SharedRow) -> RolloutOrder:
        """Return an operator's order of a roll-out; raises BAD_DOCUMENT."""

    def status(self, row: SharedRow) -> tuple[Phase, str]:
        """Return a roll-out's phase and version; raises BAD_DOCUMENT."""

    def status_change(self, service: str, phase: Phase, to: str) -> RowWrite:
        """Return the write that shows operators the phase of a roll-out."""


class SharedStore(Protocol):
    """The platform's store.

    Raises `EbonydealError`: STORE_UNAVAILABLE if nothing was done,
    STORE_IN_DOUBT if a write may have been applied, or may still be.

    Attributes
    ----------
    clock_ahead_s : float
        By how much the store's monotonic clock is ahead of this process's, by the last
        reply, seconds; 0 before. All relays share that clock.
    era : int
        Rises each time the store comes back from a copy and has lost what it had
        acknowledged since. Versions of rows are ordered across eras.
    """

    clock_ahead_s: float
    era: int

    async def rows(self, table: str, start: str = "") -> tuple[list[SharedRow], int]:
        """Return all rows from a key on, and the newest version."""

    async def changes(
        self, table: str, after: int, wait: float, reply_timeout: float
    ) -> RowChanges | None:
        """Wait for changes after a version; None if the history has expired.

        The reply may take ``reply_timeout`` seconds longer than ``wait``.
        """

    async def transact(self, changes: list[RowWrite]) -> TransactResult:
        """Apply all changes if each row has its expected version, or none."""

    async def close(self) -> None:
        """Close connections."""


class Duties(Protocol):
    """Calls of the lease holder to the platform; raises as `SharedStore`."""

    async def report_usage(
        self, window: int, counts: dict[str, int], fence: int
    ) -> DutyReply:
        """Report the requests that began in a window, by account."""

    async def order(
        self, service: str, zone: str, count: int, reclaimable: bool, fence: int
    ) -> DutyReply:
        """Set the wanted number of endpoints of one kind."""

    async def close(self) -> None:
        """Close connections."""


class Engines(Protocol):
    """Calls to model engines."""

    async def copy_run(
        self, source: str, request_id: str, target: str
    ) -> MigrationReply:
        """Copy the KV cache of a run at one address to another; the run goes on.

        The copy holds room at the target. Raises ENDPOINT_FAILED without an answer.
        """

    async def migrate_run(
        self, source: str, request_id: str, target: str, timeout: float
    ) -> MigrationReply:
        """Stop a run at one address and transfer its KV cache to another.

        Raises ENDPOINT_FAILED without an answer in ``timeout`` seconds: the run may be
        stopped or not.
        """

    async def free_copy(self, source: str, handle: str) -> None:
        """Free what holds a copied KV cache, by its name at its source.

        Raises ENDPOINT_FAILED without an answer.
        """

    async def leaves_in(self, address: str) -> float | None:
        """Return the seconds until an endpoint leaves; None if it doesn't report it.

        Raises ENDPOINT_FAILED without a readable answer.
        """

    async def is_endpoint(
        self, address: str, health_path: str, endpoint_id: str, timeout_s: float
    ) -> bool | None:
        """Return whether the process at an address has an id; None if it isn't told.

        An endpoint that starts again has another id.
        """

    async def close(self) -> None:
        """Close connections."""


class RelayPorts(NamedTuple):
    """All interfaces that one relay uses."""

    wire: Wire
    store: SharedStore
    duties: Duties
    engines: Engines
