"""Generation of one attempt's stream at a simulated engine."""

import asyncio
import json
from typing import Any

from aiohttp import web

from ebonydeal._internal.standin.attempts import Attempt, AttemptState, EngineSpec
from ebonydeal._internal.standin.cache import PrefixCache
from ebonydeal._internal.standin.endpoint import (
    EndpointFault,
    PlannedFault,
    StandinEndpoint,
)
from ebonydeal._internal.standin.kv import KvStore

_DONE = b"data: [DONE]\n\n"
_MALFORMED_EVENT = b'data: {"choices": [{"del\xff\xfe\n\n'
_CHAT_PATH = "/v1/chat/completions"


def chunk_message(
    attempt: Attempt, position: int, text: str, finish: str
) -> dict[str, Any]:
    """Return the JSON object of a chunk."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish or None}
    if attempt.path == _CHAT_PATH:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    chat = attempt.path == _CHAT_PATH
    return {
        "id": attempt.attempt_id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "model": attempt.model,
        "choices": [choice],
        "position": position,
    }


class Generation:
    """Runs one attempt that has a slot.

    Parameters
    ----------
    engine : StandinEndpoint
        Engine that runs it.
    spec : EngineSpec
        Capabilities of the engine.
    cache : PrefixCache
        Prefix cache of the engine.
    kv : KvStore
        KV copies of the engine.
    attempt : Attempt
        Attempt to run.
    fault : PlannedFault
        Fault to inject.
    """

    def __init__(
        self,
        engine: StandinEndpoint,
        spec: EngineSpec,
        cache: PrefixCache,
        kv: KvStore,
        attempt: Attempt,
        fault: PlannedFault,
    ) -> None:
        self._engine = engine
        self._spec = spec
        self._cache = cache
        self._kv = kv
        self._attempt = attempt
        self._fault = fault

    async def run(self, req: web.Request) -> web.StreamResponse:
        """Prefill, stream all tokens, and complete the log entry."""
        attempt = self._attempt
        attempt.state = AttemptState.RUNNING
        try:
            resp = web.StreamResponse(headers=self._engine.load_headers())
            resp.content_type = "text/event-stream"
            await resp.prepare(req)
            await self._prefill()
            await self._write_tokens(req, resp)
        except (ConnectionError, asyncio.CancelledError):
            if attempt.state is AttemptState.RUNNING:
                attempt.state = AttemptState.DROPPED
            raise
        finally:
            self._cache.store(attempt.blocks(), self._engine.clock.now())
            attempt.update_entry()
        return resp

    async def _prefill(self) -> None:
        """Compute the tokens that are neither in the prefix cache nor imported."""
        attempt = self._attempt
        cached = self._cache.cached_tokens(attempt.blocks())
        attempt.cached = min(
            attempt.size(), max(cached, self._kv.imported_tokens(attempt))
        )
        attempt.prefilled = attempt.size() - attempt.cached
        attempt.update_entry()
        await self._engine.simulate_work(attempt.prefilled / self._spec.prefill_per_s)

    def _token_seconds(self) -> float:
        """Return the seconds per token in the current batch."""
        batch_share = self._engine.slots.running / self._engine.slots.count
        slowdown = self._spec.batch_slowdown * min(1.0, batch_share)
        return 1.0 / (self._spec.tokens_per_s * (1.0 - slowdown))

    async def _write_tokens(self, req: web.Request, resp: web.StreamResponse) -> None:
        attempt = self._attempt
        first = True
        while attempt.position < len(attempt.tokens):
            await self._engine.simulate_work(self._token_seconds())
            if attempt.state is AttemptState.STOPPED:
                return
            if self._fault_due() and await self._fail(req, resp):
                return
            await resp.write(self._next_event(first))
            first = False
        if first:
            await resp.write(self._empty_event())
        attempt.state = AttemptState.FINISHED
        await resp.write(_DONE)

    def _next_event(self, first: bool) -> bytes:
        """Return the next token's event, and advance the position."""
        attempt = self._attempt
        position = attempt.position
        attempt.position += 1
        last = attempt.position == len(attempt.tokens)
        message = chunk_message(
            attempt, position, attempt.tokens[position], attempt.finish if last else ""
        )
        return self._event(message, first, last)

    def _empty_event(self) -> bytes:
        """Return the event of a resumed stream that has no tokens left to send."""
        attempt = self._attempt
        message = chunk_message(attempt, attempt.position, "", attempt.finish)
        return self._event(message, True, True)

    def _event(self, message: dict[str, Any], first: bool, last: bool) -> bytes:
        if first:
            message["usage_start"] = {
                "cached_tokens": self._attempt.cached,
                "prefilled_tokens": self._attempt.prefilled,
            }
        if last:
            message["load"] = self._engine.load().to_message()
        return f"data: {json.dumps(message)}\n\n".encode()

    def _fault_due(self) -> bool:
        written = self._attempt.position - self._attempt.start
        return written >= self._fault.after

    async def _fail(self, req: web.Request, resp: web.StreamResponse) -> bool:
        """Inject the fault; return whether the stream is over."""
        match self._fault.fault:
            case EndpointFault.STALL:
                await asyncio.Event().wait()
            case EndpointFault.GARBAGE:
                await resp.write(_MALFORMED_EVENT)
                self._attempt.state = AttemptState.DROPPED
                return True
            case EndpointFault.TRUNCATE:
                self._attempt.state = AttemptState.DROPPED
                return True
            case EndpointFault.BREAK:
                self._attempt.state = AttemptState.DROPPED
                if req.transport is not None:
                    req.transport.abort()
                return True
        return False
