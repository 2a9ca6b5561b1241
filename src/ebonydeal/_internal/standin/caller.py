"""A client that retries each request until it is answered, and logs its outcome."""

import json
from typing import Any

from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout
from aiohttp.http_exceptions import HttpProcessingError

from ebonydeal._internal.errors import ErrorKind, Outcome
from ebonydeal._internal.standin.balancer import Balancer
from ebonydeal._internal.standin.calls import Call, CallKind, CallRecord
from ebonydeal._internal.standin.service import KEY_HEADER
from ebonydeal._internal.utils.clock import Clock

_DONE = "[DONE]"
_POLL_INTERVAL_S = 0.1
_MIN_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 1.0
_CONNECTION_LOST = "connection_lost"
_MALFORMED_ANSWER = "garbage_answer"
_FINAL_ERRORS = frozenset(
    str(kind)
    for kind in (
        ErrorKind.BAD_REQUEST,
        ErrorKind.UNAUTHORIZED,
        ErrorKind.FORBIDDEN,
        ErrorKind.UNKNOWN_MODEL,
        ErrorKind.KEY_REUSED,
        ErrorKind.KEY_REQUIRED,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.CANCELLED,
        ErrorKind.EXPIRED,
    )
)


class _RefusedError(Exception):
    """The gateway answered with an error.

    Attributes
    ----------
    code : str
        Error kind, or the HTTP status if the body has no error kind.
    outcome : str
        Outcome of the run according to the gateway.
    """

    def __init__(self, code: str, outcome: str) -> None:
        super().__init__(code)
        self.code = code
        self.outcome = outcome


def _refusal(body: Any, status: int) -> _RefusedError:
    """Build the refusal from an error body."""
    match body:
        case {"error": {"code": str(code), **rest}}:
            return _RefusedError(code, str(rest.get("outcome", Outcome.UNKNOWN)))
    return _RefusedError(f"status_{status}", Outcome.UNKNOWN)


async def _raise_refusal(resp: ClientResponse) -> None:
    """Raise the refusal for an error response."""
    try:
        body = json.loads(await resp.read())
    except ValueError:
        body = None
    raise _refusal(body, resp.status)


class Caller:
    """Sends requests through a balancer.

    Parameters
    ----------
    session : ClientSession
        HTTP client session.
    balancer : Balancer
        Picks the gateway of each send.
    api_key : str
        API key of the client account.
    clock : Clock
        For delays and timestamps.
    timeout_s : float
        Seconds after which the caller gives up a request.
    """

    def __init__(
        self,
        session: ClientSession,
        balancer: Balancer,
        api_key: str,
        clock: Clock,
        timeout_s: float,
    ) -> None:
        self._session = session
        self._balancer = balancer
        self._api_key = api_key
        self._clock = clock
        self._timeout_s = timeout_s

    async def send(self, call: Call) -> CallRecord:
        """Send a request, with retries; return its record."""
        record = CallRecord(call, started_at=self._clock.now())
        await self.resume(record)
        return record

    async def resume(self, record: CallRecord) -> None:
        """Continue a request until it ends or times out."""
        deadline = record.started_at + self._timeout_s
        state = _RequestState()
        retry_delay = _MIN_RETRY_DELAY_S
        while record.outcome is None:
            state.url = self._balancer.pick()
            record.attempts += 1
            last_outcome = await self._send_once(record, state)
            if record.outcome is not None:
                break
            if self._clock.now() >= deadline:
                self._give_up(record, last_outcome)
                break
            await self._clock.sleep(retry_delay)
            retry_delay = min(2 * retry_delay, _MAX_RETRY_DELAY_S)
        record.finished_at = self._clock.now()

    def _give_up(self, record: CallRecord, last_outcome: str) -> None:
        """Record the outcome of a request that the caller gives up."""
        if record.accepted:
            return
        doubt = record.in_doubt or last_outcome != Outcome.NOT_RUN
        record.outcome = Outcome.UNKNOWN if doubt else Outcome.NOT_RUN

    async def _send_once(self, record: CallRecord, state: "_RequestState") -> str:
        """Send once; return the run's outcome as far as it is known."""
        try:
            match record.call.kind:
                case CallKind.STREAM:
                    await self._stream(record, state)
                case CallKind.DEFERRED:
                    await self._deferred(record, state)
                case _:
                    await self._plain(record, state)
        except _RefusedError as exc:
            record.refusals[exc.code] += 1
            self._apply_refusal(record, exc)
            return exc.outcome
        except (ClientError, HttpProcessingError, TimeoutError, OSError, ValueError):
            record.refusals[_CONNECTION_LOST] += 1
            record.in_doubt = True
            record.broken_streams += (
                record.call.kind is CallKind.STREAM and record.accepted
            )
            return Outcome.UNKNOWN
        except (KeyError, IndexError, TypeError, AttributeError):
            record.refusals[_MALFORMED_ANSWER] += 1
            record.in_doubt = True
            return Outcome.UNKNOWN
        return Outcome.ANSWERED

    def _apply_refusal(self, record: CallRecord, exc: _RefusedError) -> None:
        """Record a refusal, and end the request if a retry can't help."""
        unknown = exc.outcome != Outcome.NOT_RUN
        record.in_doubt = record.in_doubt or unknown
        if exc.code not in _FINAL_ERRORS:
            return
        if exc.code == ErrorKind.OUTCOME_UNKNOWN:
            record.outcome = Outcome.UNKNOWN
        elif not record.accepted:
            doubt = record.in_doubt
            record.outcome = Outcome.UNKNOWN if doubt else Outcome.NOT_RUN
        elif record.call.kind is CallKind.DEFERRED:
            record.outcome = Outcome.NOT_RUN

    def _headers(self, call: Call) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {self._api_key}",
            "Content-Type": "application/json",
        }
        if call.kind in (CallKind.DEFERRED, CallKind.COMMIT):
            headers[KEY_HEADER] = call.call_id
        return headers

    def _request(
        self, call: Call, state: "_RequestState", method: str, path: str, **options: Any
    ) -> Any:
        """Send a request to the gateway picked for this attempt."""
        headers = {**self._headers(call), **options.pop("headers", {})}
        return self._session.request(
            method,
            f"{state.url}{path}",
            headers=headers,
            timeout=ClientTimeout(total=self._timeout_s),
            **options,
        )

    async def _plain(self, record: CallRecord, state: "_RequestState") -> None:
        """Call a plain service; a call that is still running is retried."""
        call = record.call
        async with self._request(
            call, state, call.method, call.path, data=call.body
        ) as resp:
            if resp.status == 202:
                record.accepted = True
                raise _RefusedError("still_running", Outcome.UNKNOWN)
            if resp.status != 200:
                await _raise_refusal(resp)
            record.received = [await resp.text()]
        record.first_at = self._clock.now()
        record.outcome = Outcome.ANSWERED

    async def _deferred(self, record: CallRecord, state: "_RequestState") -> None:
        """Submit a deferred request, then poll for its answer."""
        call = record.call
        if not state.request_id:
            async with self._request(
                call, state, "POST", call.path, data=call.body
            ) as resp:
                if resp.status != 202:
                    await _raise_refusal(resp)
                state.request_id = str((await resp.json())["id"])
            record.accepted = True
        deadline = record.started_at + self._timeout_s
        path = f"{call.path}/{state.request_id}/answer"
        while self._clock.now() < deadline:
            async with self._request(call, state, "GET", path) as resp:
                if resp.status == 200:
                    self._read_whole_answer(record, await resp.json())
                    return
                if resp.status != 202:
                    await _raise_refusal(resp)
            await self._clock.sleep(_POLL_INTERVAL_S)
        raise _RefusedError("not_yet", Outcome.UNKNOWN)

    def _read_whole_answer(self, record: CallRecord, body: Any) -> None:
        """Record the tokens of a whole answer."""
        text = body["choices"][0]["message"]["content"]
        record.received = [f"{word} " for word in text.split()]
        record.first_at = self._clock.now()
        record.outcome = Outcome.ANSWERED

    async def _stream(self, record: CallRecord, state: "_RequestState") -> None:
        """Read a stream; after a broken connection, resume after the last event."""
        call = record.call
        headers = {"Last-Event-ID": state.event_id} if state.event_id else {}
        async with self._request(
            call, state, call.method, call.path, data=call.body, headers=headers
        ) as resp:
            if resp.status != 200:
                await _raise_refusal(resp)
            async for raw in resp.content:
                line = raw.decode().rstrip("\r\n")
                if line.startswith("id:"):
                    state.pending_event_id = line[3:].strip()
                elif line.startswith("data:") and self._read_event(
                    record, state, line[5:]
                ):
                    return
        raise ClientError("the stream ended without its end marker")

    def _read_event(
        self, record: CallRecord, state: "_RequestState", data: str
    ) -> bool:
        """Process one event; return whether it was the end marker."""
        if data.strip() == _DONE:
            record.outcome = Outcome.ANSWERED
            return True
        message = json.loads(data)
        if "error" in message:
            record.broken_streams += 1
            raise _refusal(message, 200)
        for choice in message.get("choices", ()):
            text = choice.get("delta", {}).get("content") or ""
            if text:
                record.accepted = True
                record.first_at = record.first_at or self._clock.now()
                record.received.append(text)
        state.event_id = state.pending_event_id
        return False


class _RequestState:
    """State of a request that is kept between attempts."""

    def __init__(self) -> None:
        self.url = ""
        self.request_id = ""
        self.event_id = ""
        self.pending_event_id = ""
