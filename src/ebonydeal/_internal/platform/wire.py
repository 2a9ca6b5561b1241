"""The platform's headers and rows, behind the relay's interface."""

from collections.abc import Iterable, Mapping

from ebonydeal._internal.models.forwarding import (
    AnswerHead,
    ForwardedRequest,
    Member,
    RouteTable,
    SendMetadata,
)
from ebonydeal._internal.models.rollouts import Phase, RolloutOrder
from ebonydeal._internal.models.shared import RowWrite, SharedRow
from ebonydeal._internal.platform.headers import (
    REQUEST_ID,
    read_answer,
    read_request,
    request_headers,
)
from ebonydeal._internal.platform.rows import (
    CONFIG_KEY,
    CONFIG_TABLE,
    MEMBERS_TABLE,
    ROLLOUT_PREFIX,
    STATUS_TABLE,
    decode_member,
    decode_order,
    decode_status,
    decode_table,
    encode_status,
    rollout_service,
)

Pairs = Iterable[tuple[str, str]]


class PlatformWire:
    """Names and formats of the platform; stateless."""

    config_table = CONFIG_TABLE
    config_key = CONFIG_KEY
    members_table = MEMBERS_TABLE
    status_table = STATUS_TABLE

    def read_request(self, method: str, target: str, pairs: Pairs) -> ForwardedRequest:
        """Return a client's request; raises BAD_REQUEST."""
        return read_request(method, target, pairs)

    def request_headers(
        self, req: ForwardedRequest, send: SendMetadata
    ) -> list[tuple[str, str]]:
        """Return the headers of one send."""
        return request_headers(req, send)

    def read_answer(self, status: int, pairs: Pairs) -> AnswerHead:
        """Return the head of an endpoint's answer."""
        return read_answer(status, pairs)

    def answered_request(self, headers: Mapping[str, str]) -> str:
        """Return the id of the request that an answer names; empty for none."""
        return headers.get(REQUEST_ID, "")

    def table(self, row: SharedRow) -> RouteTable:
        """Return the configuration; raises BAD_DOCUMENT."""
        return decode_table(row.value or b"")

    def member(self, row: SharedRow) -> Member:
        """Return a listed endpoint; raises BAD_DOCUMENT."""
        return decode_member(row)

    def rollout_service(self, key: str) -> str | None:
        """Return the service of a roll-out's row, None for other rows."""
        return rollout_service(key)

    def order(self, row: SharedRow) -> RolloutOrder:
        """Return an operator's order of a roll-out; raises BAD_DOCUMENT."""
        return decode_order(row)

    def status(self, row: SharedRow) -> tuple[Phase, str]:
        """Return a roll-out's phase and version; raises BAD_DOCUMENT."""
        return decode_status(row.value or b"")

    def status_change(self, service: str, phase: Phase, to: str) -> RowWrite:
        """Return the write that publishes a roll-out's status to operators."""
        key = f"{ROLLOUT_PREFIX}{service}"
        return RowWrite(STATUS_TABLE, key, encode_status(phase, to))
