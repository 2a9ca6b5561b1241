"""Callers' requests and stored answers."""

from base64 import b64decode, b64encode
from enum import IntEnum, StrEnum
from typing import NamedTuple, TypedDict


class Priority(IntEnum):
    """Priority classes; a lower number is served first."""

    INTERACTIVE = 0
    STANDARD = 1
    BATCH = 2


class RequestKind(StrEnum):
    """Kind of a request."""

    CHAT = "chat"
    COMPLETION = "completion"
    SERVICE = "service"


class RequestMessage(TypedDict):
    """Wire format of a request between the system's processes and in the journal."""

    request_id: str
    account: str
    deployment: str
    kind: str
    method: str
    path: str
    headers: dict[str, str]
    body: str
    body_object: str
    body_digest: str
    key: str
    idempotent: bool
    priority: int
    accepted_at: float
    deadline: float
    prompt_tokens: int
    max_tokens: int


class Request(NamedTuple):
    """One accepted or forwarded request.

    Attributes
    ----------
    request_id : str
        Unique; determines its journal shard.
    account : str
        Client account.
    deployment : str
        Deployment or plain service name.
    kind : RequestKind
        Chat, completion, or plain service call.
    method, path : str
        HTTP method and path at the endpoint.
    headers : dict of str to str
        Caller's headers that are forwarded.
    body : str
        Body text; empty if ``body_object`` names an object.
    body_object : str
        Object store name of a large body, else empty.
    body_digest : str
        Digest of the body, to detect a reused key with another body.
    key : str
        Idempotency key, or empty.
    idempotent : bool
        Whether it may run more than once.
    priority : Priority
        Priority class.
    accepted_at, deadline : float
        Wall clock seconds; deadline 0.0 means none.
    prompt_tokens, max_tokens : int
        Estimated prompt tokens and largest number of output tokens; 0 for services.
    """

    request_id: str
    account: str
    deployment: str
    kind: RequestKind
    method: str
    path: str
    headers: dict[str, str]
    body: str
    body_object: str
    body_digest: str
    key: str
    idempotent: bool
    priority: Priority
    accepted_at: float
    deadline: float
    prompt_tokens: int
    max_tokens: int

    @classmethod
    def from_message(cls, message: RequestMessage) -> "Request":
        """Build from the wire format; raises KeyError, TypeError or ValueError."""
        fields = {name: message[name] for name in cls._fields}  # type: ignore[literal-required]
        fields["kind"] = RequestKind(fields["kind"])
        fields["priority"] = Priority(fields["priority"])
        return cls(**fields)

    def to_message(self) -> RequestMessage:
        """Return the wire format."""
        fields = self._asdict()
        fields["kind"] = str(self.kind)
        fields["priority"] = int(self.priority)
        return RequestMessage(**fields)  # type: ignore[typeddict-item]


class StoredAnswer(NamedTuple):
    """A complete answer, stored for its caller.

    Attributes
    ----------
    status : int
        HTTP status of the endpoint's answer.
    content_type : str
        Content type of the body.
    body : str
        Body text; empty if ``body_object`` names an object.
    body_object : str
        Object store name of a large body, else empty.
    encoding : str
        ``"base64"`` if the body is not text, else empty.
    """

    status: int
    content_type: str
    body: str
    body_object: str = ""
    encoding: str = ""

    @classmethod
    def from_bytes(cls, status: int, content_type: str, data: bytes) -> "StoredAnswer":
        """Build from an endpoint's bytes, which need not be text."""
        try:
            return cls(status, content_type, data.decode())
        except UnicodeDecodeError:
            text = b64encode(data).decode()
            return cls(status, content_type, text, encoding="base64")

    def data(self) -> bytes:
        """Return the body's bytes as the endpoint sent them."""
        if self.encoding == "base64":
            return b64decode(self.body)
        return self.body.encode()
