"""Answers in the OpenAI format: complete ones and stream events."""

from typing import Any, TypedDict

import msgspec

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.gateway.live_stream import Piece
from ebonydeal._internal.models.requests import RequestKind

DONE = b"data: [DONE]\n\n"
_encode = msgspec.json.Encoder().encode


class Usage(TypedDict):
    """Token counts of one answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: dict[str, int]


def usage(prompt_tokens: int, cached_tokens: int, completion_tokens: int) -> Usage:
    """Return the token counts of one answer."""
    return Usage(
        prompt_tokens=prompt_tokens,
        completion_tokens=completion_tokens,
        total_tokens=prompt_tokens + completion_tokens,
        prompt_tokens_details={"cached_tokens": cached_tokens},
    )


class AnswerBuilder:
    """Builds the JSON objects of one answer.

    Parameters
    ----------
    kind : RequestKind
        Chat or completion.
    request_id : str
        Becomes part of the answer's id.
    model : str
        Model name from the request.
    created : float
        Creation time, wall clock seconds.
    """

    def __init__(
        self, kind: RequestKind, request_id: str, model: str, created: float
    ) -> None:
        self._chat = kind is RequestKind.CHAT
        prefix = "chatcmpl" if self._chat else "cmpl"
        self._id = f"{prefix}-{request_id}"
        self._model = model
        self._created = int(created)

    def _object(self, name: str, **fields: Any) -> dict[str, Any]:
        """Return an object of the common fields and ``fields``."""
        head = {"id": self._id, "object": name, "created": self._created}
        return {**head, "model": self._model, **fields}

    def _chunk_name(self) -> str:
        return "chat.completion.chunk" if self._chat else "text_completion"

    def _choice(self, piece: Piece) -> dict[str, Any]:
        """Return the choice of one stream event."""
        finish = piece.finish or None
        if not self._chat:
            return {"index": 0, "text": piece.text, "finish_reason": finish}
        delta: dict[str, str] = {}
        if piece.position == 0:
            delta["role"] = "assistant"
        if piece.text or not piece.finish:
            delta["content"] = piece.text
        return {"index": 0, "delta": delta, "finish_reason": finish}

    def event(self, piece: Piece, event_id: str) -> bytes:
        """Return the stream event of one piece."""
        message = self._object(self._chunk_name(), choices=[self._choice(piece)])
        return b"id: %b\ndata: %b\n\n" % (event_id.encode(), _encode(message))

    def usage_event(self, counts: Usage) -> bytes:
        """Return the stream event with the token counts."""
        message = self._object(self._chunk_name(), choices=[], usage=counts)
        return b"data: %b\n\n" % _encode(message)

    def complete(self, text: str, finish: str, counts: Usage) -> bytes:
        """Return a complete answer."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
            name = "chat.completion"
        else:
            choice["text"] = text
            name = "text_completion"
        return _encode(self._object(name, choices=[choice], usage=counts))


def error_event(error: EbonydealError) -> bytes:
    """Return the stream event of a final error."""
    return b"data: %b\n\n" % _encode(error.to_body())
