"""A caller: sends a request until it has its answer, and keeps its own log."""

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
_POLL_S = 0.1
_FIRST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 1.0
_LOST = "connection_lost"
_GARBAGE = "garbage_answer"
_FINAL = frozenset(
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


class _Refused(Exception):
    """The gateway answered with an error.

    Attributes
    ----------
    code : str
        Error kind, or the status where the body named none.
    outcome : str
        What it said of the run.
    """

    def __init__(self, code: str, outcome: str) -> None:
        super().__init__(code)
        self.code = code
        self.outcome = outcome


def _refusal(body: Any, status: int) -> _Refused:
    """Return the refusal that an error body stands for."""
    match body:
        case {"error": {"code": str(code), **rest}}:
            return _Refused(code, str(rest.get("outcome", Outcome.UNKNOWN)))
    return _Refused(f"status_{status}", Outcome.UNKNOWN)


async def _raise_refusal(resp: ClientResponse) -> None:
    """Raise the refusal of an answer that isn't one of the good ones."""
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
        Whose connections are used.
    balancer : Balancer
        Which gateway is next.
    api_key : str
        Of the client account.
    clock : Clock
        For pauses and times.
    patience : float
        Seconds after which a request is given up.
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
        """Send a request, again and again if need be; return its log."""
        record = CallRecord(call, started=self._clock.now())
        await self.resume(record)
        return record

    async def resume(self, record: CallRecord) -> None:
        """Go on with a request until its end, or until patience is over."""
        until = record.started + self._timeout_s
        state = _TryState()
        pause = _FIRST_PAUSE_S
        while record.outcome is None:
            state.url = self._balancer.pick()
            record.attempts += 1
            last = await self._try(record, state)
            if record.outcome is not None:
                break
            if self._clock.now() >= until:
                self._give_up(record, last)
                break
            await self._clock.sleep(pause)
            pause = min(2 * pause, _LONGEST_PAUSE_S)
        record.finished = self._clock.now()

    def _give_up(self, record: CallRecord, last: str) -> None:
        """Note what a caller knows who stops asking."""
        if record.accepted:
            return
        doubt = record.in_doubt or last != Outcome.NOT_RUN
        record.outcome = Outcome.UNKNOWN if doubt else Outcome.NOT_RUN

    async def _try(self, record: CallRecord, state: "_TryState") -> str:
        """Send once; return what is known of the run if there is no answer."""
        try:
            match record.call.kind:
                case CallKind.STREAM:
                    await self._stream(record, state)
                case CallKind.DEFERRED:
                    await self._deferred(record, state)
                case _:
                    await self._plain(record, state)
        except _Refused as exc:
            record.refusals[exc.code] += 1
            self._note_refusal(record, exc)
            return exc.outcome
        except (ClientError, HttpProcessingError, TimeoutError, OSError, ValueError):
            record.refusals[_LOST] += 1
            record.in_doubt = True
            record.broken_streams += (
                record.call.kind is CallKind.STREAM and record.accepted
            )
            return Outcome.UNKNOWN
        except (KeyError, IndexError, TypeError, AttributeError):
            record.refusals[_GARBAGE] += 1
            record.in_doubt = True
            return Outcome.UNKNOWN
        return Outcome.ANSWERED

    def _note_refusal(self, record: CallRecord, exc: _Refused) -> None:
        """End the request where a repeat can change nothing."""
        unknown = exc.outcome != Outcome.NOT_RUN
        record.in_doubt = record.in_doubt or unknown
        if exc.code not in _FINAL:
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
        self, call: Call, state: "_TryState", method: str, path: str, **options: Any
    ) -> Any:
        """Send a request to the gateway whose turn it is."""
        headers = {**self._headers(call), **options.pop("headers", {})}
        return self._session.request(
            method,
            f"{state.url}{path}",
            headers=headers,
            timeout=ClientTimeout(total=self._timeout_s),
            **options,
        )

    async def _plain(self, record: CallRecord, state: "_TryState") -> None:
        """Call a plain service; an accepted call is asked for its answer."""
        call = record.call
        async with self._request(
            call, state, call.method, call.path, data=call.body
        ) as resp:
            if resp.status == 202:
                record.accepted = True
                raise _Refused("still_running", Outcome.UNKNOWN)
            if resp.status != 200:
                await _raise_refusal(resp)
            record.received = [await resp.text()]
        record.first = self._clock.now()
        record.outcome = Outcome.ANSWERED

    async def _deferred(self, record: CallRecord, state: "_TryState") -> None:
        """Hand a request in, then ask for its answer until it is there."""
        call = record.call
        if not state.request_id:
            async with self._request(
                call, state, "POST", call.path, data=call.body
            ) as resp:
                if resp.status != 202:
                    await _raise_refusal(resp)
                state.request_id = str((await resp.json())["id"])
            record.accepted = True
        until = record.started + self._timeout_s
        path = f"{call.path}/{state.request_id}/answer"
        while self._clock.now() < until:
            async with self._request(call, state, "GET", path) as resp:
                if resp.status == 200:
                    self._take_whole(record, await resp.json())
                    return
                if resp.status != 202:
                    await _raise_refusal(resp)
            await self._clock.sleep(_POLL_S)
        raise _Refused("not_yet", Outcome.UNKNOWN)

    def _take_whole(self, record: CallRecord, body: Any) -> None:
        """Take the tokens out of a whole answer."""
        text = body["choices"][0]["message"]["content"]
        record.received = [f"{word} " for word in text.split()]
        record.first = self._clock.now()
        record.outcome = Outcome.ANSWERED

    async def _stream(self, record: CallRecord, state: "_TryState") -> None:
        """Read a stream; after a break, go on after the last event."""
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
                    state.next_id = line[3:].strip()
                elif line.startswith("data:") and self._take(record, state, line[5:]):
                    return
        raise ClientError("the stream has no end mark")

    def _take(self, record: CallRecord, state: "_TryState", data: str) -> bool:
        """Take one event in; return whether it was the end mark."""
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
                record.first = record.first or self._clock.now()
                record.received.append(text)
        state.event_id = state.next_id
        return False


class _TryState:
    """What a caller remembers from one try to the next."""

    def __init__(self) -> None:
        self.url = ""
        self.request_id = ""
        self.event_id = ""
        self.next_id = ""
