"""Sends requests to endpoints through other relays."""

import asyncio
import json
from asyncio import IncompleteReadError
from collections.abc import Callable, Collection
from http import HTTPStatus
from random import Random
from typing import NamedTuple

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.links.forward_messages import (
    FORWARD,
    LENGTH_BYTES,
    ForwardMessage,
    ForwardOutcome,
    ForwardReply,
    head_length,
    pack,
)
from ebonydeal._internal.relay.requests.exchange import OutgoingRequest
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun, NotSent
from ebonydeal._internal.relay.requests.wait_timer import arrival_limit
from ebonydeal._internal.utils.bounded_responses import BoundedConnector
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.http_sessions import HttpSessions, SessionPool
from ebonydeal._internal.utils.peerclient import PEER_HEADER

logger = get_logger("relay.forward")

# Relays that are asked for one send before it is given up.
_MAX_TRIES = 4
# A relay that didn't take a request isn't asked again for this long.
_AVOID_S = 1.0
_CONNECT_TIMEOUT_S = 0.3
# A relay acknowledges a request within milliseconds, or a third of a second if it is
# busy. Without that, its process or the connection to it has failed.
_ACKNOWLEDGE_TIMEOUT_S = 0.5


class _Call(NamedTuple):
    """A call to another relay, and the session that it uses."""

    relay: str
    pool: SessionPool


class ForwardedExchange:
    """An endpoint's answer that arrives through another relay."""

    def __init__(
        self, resp: ClientResponse, head: ForwardReply, on_end: Callable[[], None]
    ) -> None:
        self._resp = resp
        self._on_end = on_end
        self._finished = False
        self.status = int(head["status"])
        self.headers = [(str(n), str(v)) for n, v in head["headers"]]
        self.connection = "another relay's"

    async def read_some(self) -> bytes:
        """Return the next bytes of the body; none at its end."""
        return await self._resp.content.readany()

    async def was_reset(self) -> bool:
        """Return False: the other relay breaks off an answer that was reset."""
        return False

    def release(self, keepalive_s: float | None) -> None:
        """Keep the connection to the other relay for further requests."""
        if not self._finished:
            self._finished = True
            self._resp.release()
            self._on_end()

    def close(self) -> None:
        """Close the connection; the other relay then closes that to the endpoint."""
        if not self._finished:
            self._finished = True
            self._resp.close()
            self._on_end()


class RequestForwarder:
    """Sends requests to endpoints through other relays.

    Parameters
    ----------
    credential : str
        Sent with every call.
    others : callable
        Returns the addresses of the other relays.
    links_down : callable
        Returns the addresses of relays that report that they can't reach a service.
    clock, rng
        Time; choice of relays.
    metrics : Metrics
        Counts requests that were forwarded, and those that no relay took.
    """

    def __init__(
        self,
        credential: str,
        others: Callable[[], list[str]],
        links_down: Callable[[str], Collection[str]],
        clock: Clock,
        rng: Random,
        metrics: Metrics,
    ) -> None:
        self._credential = credential
        self._others = others
        self._links_down = links_down
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._sessions = HttpSessions(_open_session, clock)
        # Until when a relay isn't asked: for a service, or for any if that is empty.
        self._avoid_until: dict[tuple[str, str], float] = {}
        self._in_flight: dict[str, int] = {}
        self._releasing: set[asyncio.Task[None]] = set()

    async def send(
        self, member: Member, req: OutgoingRequest
    ) -> ForwardedExchange | NotSent | MayHaveRun | None:
        """Send a request and wait for the head of its answer.

        Returns None if no relay took the request.
        """
        body = pack(_message(member, req), req.body)
        tried: set[str] = set()
        while len(tried) < _MAX_TRIES and req.may_send():
            relay = self._choose(member.service, tried)
            if relay is None:
                break
            tried.add(relay)
            sent = await self._send_through(relay, member, body)
            if sent is not None:
                self._metrics.count(Event.FORWARDED_THROUGH_RELAY)
                return sent
        self._metrics.count(Event.FORWARDING_FAILED)
        logger.info(
            "No relay takes the request.",
            request=req.request_id,
            service=member.service,
            tried=len(tried),
            relays=len(self._others()),
        )
        return None

    def _choose(self, service: str, tried: Collection[str]) -> str | None:
        """Return the less busy one of two random relays, None if there is none."""
        now = self._clock.now()
        self._avoid_until = {k: t for k, t in self._avoid_until.items() if t > now}
        down = self._links_down(service)
        usable = [
            relay
            for relay in self._others()
            if relay not in tried
            and relay not in down
            and (relay, service) not in self._avoid_until
            and (relay, "") not in self._avoid_until
        ]
        if not usable:
            return None
        pair = self._rng.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda relay: self._in_flight.get(relay, 0))

    def _avoid(self, relay: str, service: str, reason: str) -> None:
        self._avoid_until[relay, service] = self._clock.now() + _AVOID_S
        logger.info("Relay can't forward.", relay=relay, service=service, reason=reason)

    async def _send_through(
        self, relay: str, member: Member, body: bytes
    ) -> ForwardedExchange | NotSent | MayHaveRun | None:
        """Send through one relay; None if that has not taken the request."""
        call = _Call(relay, await self._sessions.acquire(relay))
        self._in_flight[relay] = self._in_flight.get(relay, 0) + 1
        sent: ForwardedExchange | NotSent | MayHaveRun | None = None
        failed = True
        try:
            sent = await self._call(call, member, body)
            failed = False
        except (ClientConnectorError, ConnectionTimeoutError) as exc:
            self._avoid(relay, "", f"no connection ({type(exc).__name__})")
        except (TimeoutError, ClientError, OSError, IncompleteReadError) as exc:
            # The other relay had the request, and may have sent it.
            self._avoid(relay, "", f"no reply ({type(exc).__name__})")
            detail = f"no reply from relay {relay}: {type(exc).__name__}"
            sent = MayHaveRun(ErrorKind.ENDPOINT_FAILED, detail, endpoint_fault=False)
        except asyncio.CancelledError:
            failed = False
            raise
        finally:
            # An exchange ends its call itself.
            if not isinstance(sent, ForwardedExchange):
                self._end(call, failed)
        return sent

    def _end(self, call: "_Call", failed: bool) -> None:
        """Note that a call has ended."""
        relay = call.relay
        self._in_flight[relay] -= 1
        if not self._in_flight[relay]:
            del self._in_flight[relay]
        task = asyncio.ensure_future(self._sessions.release(relay, call.pool, failed))
        self._releasing.add(task)
        task.add_done_callback(self._releasing.discard)

    async def _call(
        self, call: "_Call", member: Member, body: bytes
    ) -> ForwardedExchange | NotSent | MayHaveRun | None:
        relay = call.relay
        async with arrival_limit(_ACKNOWLEDGE_TIMEOUT_S, self._clock):
            resp = await call.pool.session.post(
                f"http://{relay}{FORWARD}",
                data=body,
                headers={PEER_HEADER: self._credential},
                timeout=ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S),
            )
        kept_open = False
        try:
            if resp.status != HTTPStatus.OK:
                # A relay of the previous release doesn't know the call.
                self._avoid(relay, "", f"status {resp.status}")
                return None
            head = await _read_head(resp)
            outcome = ForwardOutcome(head["outcome"])
            if outcome is ForwardOutcome.ANSWERED:
                exchange = ForwardedExchange(
                    resp, head, lambda: self._end(call, failed=False)
                )
                kept_open = True
                return exchange
            # To its end, so that the connection can be used again.
            await resp.read()
            return self._unanswered(outcome, head, relay, member.service)
        except (KeyError, TypeError, ValueError) as exc:
            detail = f"malformed reply of relay {relay}: {exc!r}"
            return MayHaveRun(ErrorKind.ENDPOINT_FAILED, detail, endpoint_fault=False)
        finally:
            if not kept_open:
                resp.release()

    def _unanswered(
        self, outcome: ForwardOutcome, head: ForwardReply, relay: str, service: str
    ) -> NotSent | MayHaveRun | None:
        """Return the outcome of a send without an answer, None if there was no send."""
        detail = head["detail"]
        match outcome:
            case ForwardOutcome.NOT_SENT:
                return NotSent(ErrorKind(head["kind"]), detail)
            case ForwardOutcome.MAY_HAVE_RUN:
                return MayHaveRun(ErrorKind(head["kind"]), detail)
            case ForwardOutcome.DECLINED:
                kind = ErrorKind.ENDPOINT_REFUSED
                return NotSent(kind, detail, endpoint_fault=False)
            case ForwardOutcome.LINKS_DOWN:
                self._avoid(relay, service, detail)
            case _:
                self._avoid(relay, "", detail)
        return None

    async def close(self) -> None:
        """Close the connections to other relays."""
        await self._sessions.close()


def _open_session() -> ClientSession:
    session = ClientSession(connector=BoundedConnector(limit=0), auto_decompress=False)
    # A repetition by the library could run a request twice.
    session._retry_connection = False
    return session


def _message(member: Member, req: OutgoingRequest) -> ForwardMessage:
    return ForwardMessage(
        endpoint=member.endpoint_id,
        incarnation=member.incarnation,
        request_id=req.request_id,
        digest=req.traits.digest,
        account=req.traits.account,
        parts=list(req.traits.parts),
        method=req.method,
        target=req.target,
        headers=[list(pair) for pair in req.headers],
        at_most_once=req.at_most_once,
        objective=req.objective,
    )


async def _read_head(resp: ClientResponse) -> ForwardReply:
    """Return the head of a reply, whose body is left to read."""
    length = head_length(await resp.content.readexactly(LENGTH_BYTES))
    head: ForwardReply = json.loads(await resp.content.readexactly(length))
    return head
