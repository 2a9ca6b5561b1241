"""Talk between relays: the listener of each, and its word to the coordinator."""

import asyncio
from base64 import b64decode, b64encode
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from aiohttp import web
from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.shared import SharedRow
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.peers.access import check_credential
from ebonydeal._internal.relay.coordinator import Coordinator
from ebonydeal._internal.relay.follower import TableFollower
from ebonydeal._internal.relay.long_reads import LONG_READ, LongReadTaker
from ebonydeal._internal.relay.messages import (
    ExchangeMessage,
    ExchangeReply,
    GrantMessage,
    HolderMessage,
    ViewMessage,
    ViewReply,
)
from ebonydeal._internal.relay.news import NEWS, NewsTaker
from ebonydeal._internal.relay.ports import Wire
from ebonydeal._internal.relay.shares import FIRST_RELAYS
from ebonydeal._internal.relay.view import RelayView
from ebonydeal._internal.routing.duty_lease import DutyLease, LeaseRow
from ebonydeal._internal.routing.pace import JITTER_LEAST, JITTER_MOST, Pace
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import COMPRESS_FROM_BYTES, PeerClient
from ebonydeal._internal.utils.web import error_response, read_json

logger = get_logger("relay.peers")

EXCHANGE = "/relay/v1/exchange"
GRANT = "/relay/v1/grant"
VIEW = "/relay/v1/view"
HOLDER = "/relay/v1/holder"
METRICS = "/metrics"

_CALL_S = 0.5
_SYNC_S = 0.4
# A store that has failed us for this long is asked through other relays.
_STORE_PATIENCE_S = 0.6


def peer_answer(reply: Any) -> web.Response:
    """Return an answer, compressed where it is large."""
    resp = web.json_response(reply)
    if (resp.content_length or 0) >= COMPRESS_FROM_BYTES:
        resp.enable_compression()
    return resp


class PeerHandler:
    """Answers other relays and whoever reads the metrics."""

    def __init__(
        self,
        credential: str,
        coordinator: Coordinator,
        view: RelayView,
        taker: NewsTaker,
        long_reads: LongReadTaker,
        metrics: Metrics,
    ) -> None:
        self._credential = credential
        self._coordinator = coordinator
        self._view = view
        self._metrics = metrics
        self._calls: dict[str, Callable[[Any], Any]] = {
            EXCHANGE: coordinator.exchange,
            GRANT: coordinator.grant,
            VIEW: self._news,
            NEWS: taker.take,
            LONG_READ: long_reads.take,
        }

    def serve(self, path: str, call: Callable[[Any], Any]) -> None:
        """Answer one more call."""
        self._calls[path] = call

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Answer one request."""
        if req.path == METRICS:
            return web.Response(body=self._metrics.text(), content_type="text/plain")
        try:
            check_credential(req, self._credential)
            call = self._calls.get(req.path)
            if call is None:
                raise EbonydealError(ErrorKind.NOT_FOUND, f"no call {req.path}")
            return peer_answer(call(await read_json(req)))
        except EbonydealError as exc:
            return error_response(exc)
        except (KeyError, TypeError, ValueError) as exc:
            detail = f"message: {exc!r}"
            return error_response(EbonydealError(ErrorKind.BAD_REQUEST, detail))

    def _news(self, message: ViewMessage) -> ViewReply:
        """Return what is newer here than there."""
        view = self._view
        reply = ViewReply()
        if view.version > message["config"]:
            reply["config"] = b64encode(view.raw_table).decode("ascii")
        since = message["members"]
        if since is not None and view.members_known and view.members_version > since:
            reply["members"] = [list(member) for member in view.members.values()]
            reply["version"] = view.members_version
        lease = self._coordinator.lease
        if lease.row is not None:
            reply["lease"] = [list(lease.row), lease.version]
        return reply


class ExchangeParts(NamedTuple):
    """What the exchange works with.

    ``word`` builds this relay's message from the relays it knows; ``heard`` takes
    the reply. ``period`` is the least time between two words, seconds.
    """

    coordinator: Coordinator
    client: PeerClient
    clock: Clock
    rng: Random
    word: Callable[[list[str]], ExchangeMessage]
    heard: Callable[[ExchangeReply], None]
    period: float = 0.5


class Exchange(Service):
    """Tells the coordinator, several times a second, and takes its answer."""

    def __init__(self, parts: ExchangeParts, seeds: tuple[str, ...]) -> None:
        super().__init__()
        self._parts = parts
        self._last_ok = parts.clock.now()
        self.fed = False
        self.relays: list[str] = list(seeds)
        self.relay_count = max(FIRST_RELAYS, len(seeds))
        # Whether a coordinator told how many relays there are.
        self.counted = False
        self._pace = Pace(parts.period)
        self._tells_config = False

    def take_seeds(self, seeds: tuple[str, ...]) -> None:
        """Ask other relays to begin with, beside those that are known."""
        self.relays.extend(seed for seed in seeds if seed not in self.relays)

    @property
    def in_touch(self) -> bool:
        """Whether the coordinator answered lately."""
        silent = self._parts.clock.now() - self._last_ok
        return silent <= self._pace.patience

    @property
    def fed_config(self) -> bool:
        """Whether another relay tells this one of each configuration."""
        return self.fed and self._tells_config

    @property
    def lease(self) -> DutyLease:
        """The lease as this relay sees it."""
        return self._parts.coordinator.lease

    @property
    def coordinator_address(self) -> str | None:
        """Where the coordinator is, as far as known."""
        row = self._parts.coordinator.lease.row
        return row.address if row is not None and row.address else None

    @Service.task
    async def _run(self) -> None:
        parts = self._parts
        while not self.should_stop:
            answered = await self._once()
            pause = self._pace.period if answered else self._pace.again
            jitter = parts.rng.uniform(JITTER_LEAST, JITTER_MOST)
            await parts.clock.sleep(pause * jitter)

    async def flush(self) -> None:
        """Tell the coordinator once more before this process ends."""
        await self._once()

    async def _once(self) -> bool:
        """Make one exchange; without an answer, want the lease.

        Returns whether there was an answer.
        """
        parts = self._parts
        lease = parts.coordinator.lease
        try:
            reply = await self._ask()
        except EbonydealError as exc:
            self.fed = False
            silent = parts.clock.now() - self._last_ok
            if not lease.wanted and silent > self._pace.lost_after:
                logger.warning("Coordinator lost.", reason=str(exc))
                lease.wanted = True
            return False
        if reply is None:
            self.fed = False
            lease.wanted = True
            return False
        # Our own list is told by nobody, and that of a coordinator which doesn't
        # hear the store may be old.
        self.fed = reply["holds"] and reply["fresh"] and not lease.mine
        self._last_ok = parts.clock.now()
        if reply["relays"] is not None:
            self.relays = list(reply["relays"])
        self.relay_count = max(1, len(self.relays))
        self.counted = True
        self._pace = Pace(max(parts.period, float(reply["period"])))
        self._tells_config = reply["tells_config"]
        lease.wanted = not reply["holds"]
        parts.heard(reply)
        return True

    async def announce(self) -> None:
        """Tell all relays known that this one holds the lease now.

        Else each would find it by reading the lease: hundreds of calls of the store.
        """
        lease = self.lease
        if not lease.mine or lease.row is None:
            return
        message = HolderMessage(row=list(lease.row), version=lease.version)
        own = lease.row.address
        others = [address for address in self.relays if address != own]
        told = await asyncio.gather(*(self._tell_holder(a, message) for a in others))
        logger.info("Relays told of the holder.", asked=len(told), heard=sum(told))

    async def _tell_holder(self, address: str, message: HolderMessage) -> bool:
        try:
            await self._parts.client.call(address, HOLDER, message, _CALL_S)
        except EbonydealError:
            # It finds the holder by itself, or is gone.
            return False
        return True

    def take_holder(self, message: HolderMessage) -> dict[str, Any]:
        """Take another relay's word that it holds the lease."""
        self.lease.hear(LeaseRow(*message["row"]), int(message["version"]))
        return {}

    async def _ask(self) -> ExchangeReply | None:
        parts = self._parts
        if parts.coordinator.lease.mine:
            return parts.coordinator.exchange(parts.word(self.relays))
        address = self.coordinator_address
        if address is None:
            return None
        reply: Any = await parts.client.call(
            address, EXCHANGE, parts.word(self.relays), _CALL_S
        )
        return reply

    async def grant(self, account: str, amount: float) -> tuple[float, float]:
        """Ask for a part of a limit; returns (amount, seconds to wait).

        Raises `EbonydealError` where the coordinator doesn't answer.
        """
        parts = self._parts
        message = GrantMessage(account=account, amount=amount)
        if parts.coordinator.lease.mine:
            reply = parts.coordinator.grant(message)
            return reply["amount"], reply["wait"]
        address = self.coordinator_address
        if address is None:
            raise EbonydealError(ErrorKind.WRONG_OWNER, "no coordinator is known")
        answer = await parts.client.call(address, GRANT, message, _CALL_S / 2)
        return float(answer["amount"]), float(answer["wait"])


class ViewSync(Service):
    """Asks other relays for news while the store doesn't answer this one."""

    def __init__(
        self,
        exchange: Exchange,
        client: PeerClient,
        wire: Wire,
        view: RelayView,
        followers: tuple[TableFollower, ...],
        clock: Clock,
        rng: Random,
    ) -> None:
        super().__init__()
        self._exchange = exchange
        self._client = client
        self._wire = wire
        self._view = view
        self._followers = followers
        self._clock = clock
        self._rng = rng
        self.behind = False
        self.behind_config = False

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_SYNC_S * self._rng.uniform(0.8, 1.2))
            away = self._store_is_away()
            if self.behind or self.behind_config or away:
                members = self.behind or away
                self.behind = self.behind_config = False
                await self._sync(members, away)

    def _store_is_away(self) -> bool:
        now = self._clock.now()
        since = [f.failing_since for f in self._followers]
        return any(at is not None and now - at > _STORE_PATIENCE_S for at in since)

    async def _sync(self, members: bool, away: bool) -> None:
        """Ask the coordinator, and one other relay where it doesn't answer.

        For the configuration, and for endpoints where ``members``; both relays
        where the store is ``away``, since either may know more.
        """
        asked = []
        if self._exchange.coordinator_address:
            asked.append(self._exchange.coordinator_address)
        others = [a for a in self._exchange.relays if a not in asked]
        if others:
            asked.append(self._rng.choice(others))
        for address in asked:
            view = self._view
            since = view.members_version if members else None
            message = ViewMessage(config=view.version, members=since)
            try:
                reply = await self._client.call(address, VIEW, message, _CALL_S)
            except EbonydealError as exc:
                logger.info("No news.", peer=address, reason=str(exc))
                continue
            self._take(reply, address)
            if not away:
                return

    def _take(self, reply: dict[str, Any], address: str) -> None:
        view = self._view
        try:
            if "config" in reply:
                raw = b64decode(reply["config"])
                table = self._wire.table(SharedRow("", raw, 0))
                view.take_table(table, raw, f"peer {address}")
            if "members" in reply and reply["version"] > view.members_version:
                members = [Member(*item) for item in reply["members"]]
                view.replace(members, reply["version"], self._clock.now(), False)
                logger.info("Endpoints from a peer.", peer=address, count=len(members))
            if "lease" in reply:
                row, version = reply["lease"]
                self._exchange.lease.hear(LeaseRow(*row), int(version))
        except (EbonydealError, KeyError, TypeError, ValueError) as exc:
            logger.error("News can't be read.", peer=address, reason=repr(exc))
