"""Runs a request at one endpoint and collects the complete answer."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.models.requests import Request, RequestKind, StoredAnswer
from ebonydeal._internal.outside.interfaces import (
    CancelResult,
    Chunk,
    Engine,
    PlainServices,
    Resume,
)
from ebonydeal._internal.utils.clock import Clock

NOT_STARTED = "not_started"
STOPPED = "stopped"
FINISHED = "finished"
UNKNOWN = "unknown"

KEY_HEADER = "Idempotency-Key"
_JSON = "application/json"


class Interrupted(Exception):
    """Raised for a run that was stopped; ``attempt_state`` is the engine's report."""

    def __init__(self, attempt_state: str) -> None:
        super().__init__(attempt_state)
        self.attempt_state = attempt_state


@dataclass
class Progress:
    """Tokens of an answer so far, across endpoints."""

    texts: list[str] = field(default_factory=list)
    finish_reason: str = ""
    prompt_tokens: int = 0
    recomputed: int = 0
    last_chunk_at: float = 0.0

    def resume(self) -> Resume | None:
        """Return where another endpoint continues, or None to start from scratch."""
        return Resume(tuple(self.texts)) if self.texts else None

    def add(self, chunk: Chunk, resumed: bool) -> None:
        """Add a chunk, ignoring repeated tokens; raises ENDPOINT_GARBAGE on a gap."""
        prompt = chunk.cached_tokens + chunk.prefilled_tokens
        if prompt and resumed:
            self.recomputed += chunk.prefilled_tokens
        elif prompt:
            self.prompt_tokens = prompt
        if chunk.position > len(self.texts):
            raise EbonydealError(ErrorKind.ENDPOINT_GARBAGE, "tokens are missing")
        if chunk.position == len(self.texts) and chunk.text:
            self.texts.append(chunk.text)
        if chunk.finish:
            self.finish_reason = chunk.finish


class Interrupt:
    """Requests the stop of a running request; the first reason is kept."""

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self.reason = ""

    def request(self, reason: str) -> None:
        """Request a stop."""
        if not self.reason:
            self.reason = reason
            self._event.set()

    @property
    def requested(self) -> bool:
        """Whether a stop was requested."""
        return self._event.is_set()

    async def wait(self) -> None:
        """Return when a stop is requested."""
        await self._event.wait()

    def clear(self) -> None:
        """Clear a stop that has been handled."""
        self.reason = ""
        self._event.clear()


async def cancel_attempt(engine: Engine, view: EndpointView, attempt_id: str) -> str:
    """Cancel an attempt; return its state at the engine, or UNKNOWN on an error."""
    try:
        result: CancelResult = await engine.cancel(view, attempt_id)
    except EbonydealError:
        return UNKNOWN
    return result.state


def parse_body(text: str) -> dict[str, Any]:
    """Return an engine request's body; raises BAD_REQUEST."""
    try:
        body = json.loads(text)
    except ValueError as exc:
        raise EbonydealError(ErrorKind.BAD_REQUEST, "the body is not JSON") from exc
    if not isinstance(body, dict):
        raise EbonydealError(ErrorKind.BAD_REQUEST, "the body is not a JSON object")
    return {**body, "stream": True}


def engine_answer(request: Request, body: dict, progress: Progress) -> StoredAnswer:
    """Return the non-streamed OpenAI answer of a finished generation."""
    text = "".join(progress.texts)
    choice: dict[str, Any] = {"index": 0, "finish_reason": progress.finish_reason}
    kind = "text_completion"
    if request.kind is RequestKind.CHAT:
        kind = "chat.completion"
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    tokens = len(progress.texts)
    answer = {
        "id": request.request_id,
        "object": kind,
        "created": int(request.accepted_at),
        "model": str(body.get("model", "")),
        "choices": [choice],
        "usage": {
            "prompt_tokens": progress.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": progress.prompt_tokens + tokens,
        },
    }
    return StoredAnswer(200, _JSON, json.dumps(answer))


async def run_engine(
    engine: Engine,
    view: EndpointView,
    request: Request,
    body: dict[str, Any],
    attempt_id: str,
    progress: Progress,
    interrupt: Interrupt,
    clock: Clock,
    stall_seconds: float,
) -> StoredAnswer:
    """Generate, or continue after ``progress``, and return the complete answer.

    Raises `Interrupted` after ``interrupt``, unless the engine reports that the
    attempt has finished; ENDPOINT_STALLED when no chunk arrives for
    ``stall_seconds``; else what `Engine.stream` raises.
    """
    consumer = asyncio.ensure_future(
        _consume(engine, view, request, body, attempt_id, progress, clock)
    )
    interrupted = asyncio.ensure_future(interrupt.wait())
    progress.last_chunk_at = clock.now()
    try:
        while not consumer.done():
            timer = asyncio.ensure_future(clock.sleep(stall_seconds))
            waits = {consumer, timer} | (set() if interrupted.done() else {interrupted})
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            timer.cancel()
            if consumer.done():
                break
            if clock.now() - progress.last_chunk_at >= stall_seconds:
                raise EbonydealError(
                    ErrorKind.ENDPOINT_STALLED, "no token arrived in time"
                )
            if interrupted.done() and interrupt.requested:
                attempt_state = await cancel_attempt(engine, view, attempt_id)
                if attempt_state != FINISHED:
                    raise Interrupted(attempt_state)
                interrupt.clear()
        await consumer
    finally:
        interrupted.cancel()
        consumer.cancel()
        await asyncio.wait({consumer})
    return engine_answer(request, body, progress)


async def _consume(
    engine: Engine,
    view: EndpointView,
    request: Request,
    body: dict[str, Any],
    attempt_id: str,
    progress: Progress,
    clock: Clock,
) -> None:
    """Read a stream into ``progress`` until it ends."""
    resume = progress.resume()
    stream = engine.stream(view, request.path, body, attempt_id, resume)
    async for chunk in stream:
        progress.last_chunk_at = clock.now()
        progress.add(chunk, resumed=resume is not None)
    if not progress.finish_reason:
        raise EbonydealError(ErrorKind.ENDPOINT_FAILED, "the stream ended early")


async def run_service(
    services: PlainServices,
    view: EndpointView,
    request: Request,
    body: str,
    attempt_id: str,
    timeout: float,
) -> StoredAnswer:
    """Call a plain service once and return its complete answer."""
    headers = dict(request.headers)
    if request.key and not any(name.lower() == KEY_HEADER.lower() for name in headers):
        headers[KEY_HEADER] = request.key
    answer = await services.call(
        view,
        request.method,
        request.path,
        headers,
        body.encode(),
        attempt_id,
        timeout,
    )
    return StoredAnswer.from_bytes(answer.status, answer.content_type, answer.body)
