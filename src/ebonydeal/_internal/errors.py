"""All error kinds, and the table of their HTTP responses.

Every error that leaves a process has one of these kinds. The table defines the HTTP
status, whether the request is known not to have run, and what the user can do.
Nothing else in the code base maps errors to responses.
"""

from enum import StrEnum
from typing import NamedTuple, TypedDict


class ErrorKind(StrEnum):
    """Kinds of failure of a request, an operation or a document."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_MODEL = "unknown_model"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TOO_LARGE = "head_too_large"
    SLOW_SENDER = "slow_sender"
    KEY_REUSED = "key_reused"
    KEY_REQUIRED = "key_required"
    RATE_LIMITED = "rate_limited"
    LIMIT_TOO_SMALL = "limit_too_small"
    LIMIT_UNAVAILABLE = "limit_unavailable"
    QUEUE_FULL = "queue_full"
    SHED = "shed"
    MEMORY_SHORT = "memory_short"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINTS_LIMITED = "endpoints_limited"
    RETRY_BUDGET = "retry_budget"
    DRAINING = "draining"
    INSTANCE_STOPPED = "instance_stopped"
    JOURNAL_UNAVAILABLE = "journal_unavailable"
    JOURNAL_BEHIND = "journal_behind"
    WRONG_OWNER = "wrong_owner"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_IN_DOUBT = "store_in_doubt"
    FENCED = "fenced"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CONNECT_FAILED = "connect_failed"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_GARBAGE = "endpoint_garbage"
    ENDPOINT_STALLED = "endpoint_stalled"
    REQUEST_QUARANTINED = "request_quarantined"
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    CALLER_LEFT = "caller_left"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
    BAD_SETTINGS = "bad_settings"
    BAD_DOCUMENT = "bad_document"
    CONFIG_CONFLICT = "config_conflict"
    STALE_ORDER = "stale_order"
    START_REFUSED = "start_refused"
    PRICE_CEILING = "price_ceiling"
    INTERNAL = "internal"


class Outcome(StrEnum):
    """What a caller can conclude about the execution of its request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


class ErrorResponse(NamedTuple):
    """Response to a caller for one error kind.

    Attributes
    ----------
    status : int
        HTTP status code.
    outcome : Outcome
        Whether the request is known not to have run.
    error_type : str
        The ``error.type`` of the OpenAI error shape.
    retry_after : float or None
        Default delay before a retry, seconds; None if a retry of the same request
        can't succeed.
    hint : str
        What the user can do.
    """

    status: int
    outcome: Outcome
    error_type: str
    retry_after: float | None
    hint: str


_INVALID = "invalid_request_error"
_LIMIT = "rate_limit_error"
_SERVER = "server_error"
_N = Outcome.NOT_RUN
_U = Outcome.UNKNOWN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(
        400, _N, _INVALID, None, "Correct the request."
    ),
    ErrorKind.UNAUTHORIZED: ErrorResponse(
        401, _N, "authentication_error", None, "Send a valid API key."
    ),
    ErrorKind.FORBIDDEN: ErrorResponse(
        403, _N, "permission_error", None, "Ask an operator for access."
    ),
    ErrorKind.NOT_FOUND: ErrorResponse(
        404, _N, _INVALID, None, "Check the path or id."
    ),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(
        404, _N, _INVALID, None, "List the models with GET /v1/models."
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, _N, _INVALID, None, "Send a smaller body."
    ),
    ErrorKind.HEAD_TOO_LARGE: ErrorResponse(
        431, _N, _INVALID, None, "Send fewer or shorter header fields."
    ),
    ErrorKind.SLOW_SENDER: ErrorResponse(
        408, _N, _INVALID, None, "Send the request faster."
    ),
    ErrorKind.KEY_REUSED: ErrorResponse(
        409, _N, _INVALID, None, "Use a new idempotency key for another body."
    ),
    ErrorKind.KEY_REQUIRED: ErrorResponse(
        400, _N, _INVALID, None, "Send an Idempotency-Key header with this call."
    ),
    ErrorKind.RATE_LIMITED: ErrorResponse(429, _N, _LIMIT, 1.0, "Wait, then repeat."),
    ErrorKind.LIMIT_TOO_SMALL: ErrorResponse(
        429, _N, _LIMIT, None, "Send a smaller request, or ask for a higher limit."
    ),
    ErrorKind.LIMIT_UNAVAILABLE: ErrorResponse(
        503, _N, _SERVER, 1.0, "Wait, then repeat."
    ),
    ErrorKind.QUEUE_FULL: ErrorResponse(429, _N, _LIMIT, 2.0, "Wait, then repeat."),
    ErrorKind.SHED: ErrorResponse(
        503, _N, _SERVER, 5.0, "Wait, or use a higher priority."
    ),
    ErrorKind.MEMORY_SHORT: ErrorResponse(503, _N, _SERVER, 1.0, "Wait, then repeat."),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(
        504, _U, _SERVER, None, "Allow more time, or repeat when load is lower."
    ),
    ErrorKind.NO_ENDPOINT: ErrorResponse(503, _N, _SERVER, 2.0, "Wait, then repeat."),
    ErrorKind.ENDPOINTS_LIMITED: ErrorResponse(
        503, _N, _SERVER, 1.0, "Wait, then repeat."
    ),
    ErrorKind.RETRY_BUDGET: ErrorResponse(503, _U, _SERVER, 2.0, "Wait, then repeat."),
    ErrorKind.DRAINING: ErrorResponse(
        503, _N, _SERVER, 0.0, "Repeat at once elsewhere."
    ),
    ErrorKind.INSTANCE_STOPPED: ErrorResponse(
        504, _U, _SERVER, 0.0, "Repeat if idempotent."
    ),
    ErrorKind.JOURNAL_UNAVAILABLE: ErrorResponse(
        503, _N, _SERVER, 5.0, "Repeat later with the same idempotency key."
    ),
    ErrorKind.JOURNAL_BEHIND: ErrorResponse(
        503, _N, _SERVER, 2.0, "Repeat later with the same idempotency key."
    ),
    ErrorKind.WRONG_OWNER: ErrorResponse(
        421, _N, _SERVER, 0.0, "Follow the named owner."
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, _N, _SERVER, 5.0, "Repeat later."),
    ErrorKind.STORE_IN_DOUBT: ErrorResponse(
        503, _U, _SERVER, 5.0, "Repeat later with the same idempotency key."
    ),
    ErrorKind.FENCED: ErrorResponse(503, _U, _SERVER, 0.0, "Repeat with the same key."),
    ErrorKind.NOT_RUN: ErrorResponse(503, _N, _SERVER, 1.0, "The request did not run."),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        502,
        _U,
        _SERVER,
        None,
        "Check with the service itself; the request is not retried.",
    ),
    ErrorKind.CONNECT_FAILED: ErrorResponse(
        503, _N, _SERVER, 1.0, "Wait, then repeat."
    ),
    ErrorKind.ENDPOINT_REFUSED: ErrorResponse(
        503, _N, _SERVER, 1.0, "Wait, then repeat."
    ),
    ErrorKind.ENDPOINT_FAILED: ErrorResponse(
        502, _U, _SERVER, 1.0, "Repeat if idempotent."
    ),
    ErrorKind.ENDPOINT_GARBAGE: ErrorResponse(
        502, _U, _SERVER, 1.0, "Repeat if idempotent."
    ),
    ErrorKind.ENDPOINT_STALLED: ErrorResponse(
        504, _U, _SERVER, 1.0, "Repeat if idempotent."
    ),
    # Neither a status that clients retry nor one that says the request is malformed.
    ErrorKind.REQUEST_QUARANTINED: ErrorResponse(
        500, _N, _SERVER, None, "Don't repeat it; report the digest to the operators."
    ),
    ErrorKind.STREAM_VERSION_UNKNOWN: ErrorResponse(
        503, _N, _SERVER, 1.0, "Wait, then repeat, or request the stream anew."
    ),
    ErrorKind.CALLER_LEFT: ErrorResponse(
        499, _U, _INVALID, None, "Reconnect to resume."
    ),
    ErrorKind.CANCELLED: ErrorResponse(
        409, _N, _INVALID, None, "The request was cancelled."
    ),
    ErrorKind.EXPIRED: ErrorResponse(
        410, _N, _INVALID, None, "Send the request again."
    ),
    ErrorKind.BAD_SETTINGS: ErrorResponse(
        400, _N, _INVALID, None, "Correct the settings."
    ),
    ErrorKind.BAD_DOCUMENT: ErrorResponse(
        422, _N, _INVALID, None, "Correct the document."
    ),
    ErrorKind.CONFIG_CONFLICT: ErrorResponse(
        409, _N, _INVALID, None, "Read the newer version, then change that."
    ),
    ErrorKind.STALE_ORDER: ErrorResponse(
        409, _N, _INVALID, None, "A newer lease holder is active."
    ),
    ErrorKind.START_REFUSED: ErrorResponse(
        503, _N, _SERVER, 30.0, "Try another offer."
    ),
    ErrorKind.PRICE_CEILING: ErrorResponse(
        503, _N, _SERVER, 60.0, "Raise the ceiling."
    ),
    ErrorKind.INTERNAL: ErrorResponse(500, _U, _SERVER, 1.0, "Report the request id."),
}


class ErrorBody(TypedDict, total=False):
    """The ``error`` object of the OpenAI error shape, with additional fields."""

    message: str
    type: str
    code: str
    param: str | None
    outcome: str
    retry_after: float | None
    owner: str | None


class EbonydealError(Exception):
    """A failure of a known kind.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the failure.
    detail : str
        What happened, for the user.
    retry_after : float, optional
        Seconds; overrides the default of the error table.
    owner : str, optional
        Address of the actual owner, with ``WRONG_OWNER``.
    outcome : Outcome, optional
        Overrides the outcome of the error table, if less is known about the execution.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = "",
        *,
        retry_after: float | None = None,
        owner: str | None = None,
        outcome: Outcome | None = None,
    ) -> None:
        super().__init__(f"{kind}: {detail}" if detail else str(kind))
        self.kind = kind
        self.detail = detail
        self.retry_after = retry_after
        self.owner = owner
        # Ticket with which the client may return after ``retry_after``.
        self.retry_ticket: str | None = None
        self.outcome = outcome or ERROR_RESPONSES[kind].outcome

    @property
    def response(self) -> ErrorResponse:
        """The response that the error table defines for this kind."""
        return ERROR_RESPONSES[self.kind]

    @property
    def retry_delay(self) -> float | None:
        """Seconds before a retry: ``retry_after`` or the default of the error table."""
        if self.retry_after is None:
            return self.response.retry_after
        return self.retry_after

    def to_body(self) -> dict[str, ErrorBody]:
        """Return the response body for a caller or peer."""
        response = self.response
        message = f"{self.detail} {response.hint}".strip()
        body = ErrorBody(
            message=message,
            type=response.error_type,
            code=str(self.kind),
            param=None,
            outcome=str(self.outcome),
            retry_after=self.retry_delay,
        )
        if self.owner is not None:
            body["owner"] = self.owner
        return {"error": body}

    @classmethod
    def from_body(cls, body: object) -> "EbonydealError":
        """Rebuild an error from a peer's response; INTERNAL if it is malformed."""
        match body:
            case {"error": {"code": str(code), **rest}} if code in set(ErrorKind):
                retry_after = rest.get("retry_after")
                owner = rest.get("owner")
                outcome = rest.get("outcome")
                known = isinstance(outcome, str) and outcome in set(Outcome)
                return cls(
                    ErrorKind(code),
                    str(rest.get("message", "")),
                    retry_after=retry_after
                    if isinstance(retry_after, (int, float))
                    else None,
                    owner=owner if isinstance(owner, str) else None,
                    outcome=Outcome(str(outcome)) if known else None,
                )
        return cls(ErrorKind.INTERNAL, "a peer responded with an error of unknown kind")


class NoReplyError(EbonydealError):
    """A call got no reply, though its connection was established.

    Either the service or this connection alone has failed.

    Attributes
    ----------
    on_open_connection : bool
        Whether the connection had been open before the call.
    """

    def __init__(self, kind: ErrorKind, detail: str, on_open_connection: bool) -> None:
        super().__init__(kind, detail)
        self.on_open_connection = on_open_connection
