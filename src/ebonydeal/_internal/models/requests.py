"""Callers' requests as the programs see them."""

from base64 import b64decode, b64encode
from enum import IntEnum, StrEnum
from typing import NamedTuple, TypedDict


class Priority(IntEnum):
    """Priority classes; a lower number is served first."""

    INTERACTIVE = 0
    STANDARD = 1
    BATCH = 2


class RequestKind(StrEnum):
    """What a request asks for."""

    CHAT = "chat"
    COMPLETION = "completion"
    SERVICE = "service"


class RequestMessage(TypedDict):
    """Wire shape of a request between our own processes and in the journal."""

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
        Unique; names its journal shard.
    account : str
        Client account.
    deployment : str
        Deployment or plain service name.
    kind : RequestKind
        Chat, completion, or plain service call.
    method, path : str
        HTTP method and path at the endpoint.
    headers : dict of str to str
        Caller's headers that are passed on.
    body : str
        Body text; empty where ``body_object`` names an object.
    body_object : str
        Object store name of a large body, else empty.
    body_digest : str
        Digest of the body, for "same key, other body".
    key : str
        Idempotency key, or empty.
    idempotent : bool
        Whether running it twice is harmless.
    priority : Priority
        Priority class.
    accepted_at, deadline : float
        Wall clock seconds; deadline 0.0 means none.
    prompt_tokens, max_tokens : int
        Estimated prompt tokens and most output tokens; 0 for services.
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
        """Build from the wire shape; raises KeyError, TypeError or ValueError."""
        fields = {name: message[name] for name in cls._fields}  # type: ignore[literal-required]
        fields["kind"] = RequestKind(fields["kind"])
        fields["priority"] = Priority(fields["priority"])
        return cls(**fields)

    def to_message(self) -> RequestMessage:
        """Return the wire shape."""
        fields = self._asdict()
        fields["kind"] = str(self.kind)
        fields["priority"] = int(self.priority)
        return RequestMessage(**fields)  # type: ignore[typeddict-item]


class StoredAnswer(NamedTuple):
    """A whole answer that is kept for its caller.

    Attributes
    ----------
    status : int
        HTTP status that the endpoint gave.
    content_type : str
        Of the body.
    body : str
        Body text; empty where ``body_object`` names an object.
    body_object : str
        Object store name of a large body, else empty.
    encoding : str
        ``"base64"`` where the body is not text, else empty.
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
        """Return the body's bytes as the endpoint gave them."""
        if self.encoding == "base64":
            return b64decode(self.body)
        return self.body.encode()
