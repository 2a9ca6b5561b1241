"""Requests that bring endpoints down, known to all relays at once.

Each relay tells all others of a crash when it sees it, with the requests that were at
work. Who misses that word hears it from the coordinator, who compares memories with
each relay's next word, and a relay that starts without a coordinator from any other. So
no single relay, nor the store, is needed for all to know.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.crashes.crash_check import Crashed
from ebonydeal._internal.relay.peers.call_budget import CallBudget
from ebonydeal._internal.relay.peers.messages import CrashesMessage, ExchangeMessage
from ebonydeal._internal.relay.requests.outcomes import MayHaveRun
from ebonydeal._internal.routing.crashes.crash_blame import CrashKey
from ebonydeal._internal.routing.crashes.crash_evidence import CrashEvidence, Standing
from ebonydeal._internal.routing.crashes.crash_messages import (
    EvidenceMessage,
    SeenCrash,
)
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient

logger = get_logger("relay.suspects")

CRASHES = "/relay/v1/crashes"
# Longest wait for another relay to take a word: it hears of it again with its next
# exchange, half a second later.
_CALL_S = 0.4
_EXPIRY_S = 1.0
# Signs of life are looked at for so long after a crash: a stream lasts no longer.
_CONTRADICTED_S = 60.0


class SuspectParts(NamedTuple):
    """What the suspects are kept with; ``node`` is this relay's name."""

    evidence: CrashEvidence
    client: PeerClient
    budget: CallBudget
    metrics: Metrics
    clock: Clock
    node: str


class Suspects(Service):
    """What is held of requests, and the runs of those that are to be stopped."""

    def __init__(self, parts: SuspectParts) -> None:
        super().__init__()
        self._parts = parts
        self._runs: dict[str, set[asyncio.Timeout]] = {}
        self._places: dict[str, int] = {}
        self._told: asyncio.Queue[list[CrashKey]] = asyncio.Queue()
        self._refused: set[str] = set()
        # Of the memory that the coordinator had at the last exchange.
        self._coordinators_mark = ""

    # --- for one request -----------------------------------------------------
    def standing(self, digest: str) -> Standing:
        """Return what is held of a request."""
        return self._parts.evidence.standing(digest)

    def check(self, digest: str) -> None:
        """Raise REQUEST_QUARANTINED for a request that brings endpoints down."""
        if self.standing(digest) is Standing.QUARANTINED:
            raise EbonydealError(ErrorKind.REQUEST_QUARANTINED, self._why(digest))

    def stopped(self, digest: str) -> MayHaveRun | None:
        """Return the outcome of a run that was ended since its request is held."""
        if self.standing(digest) is not Standing.QUARANTINED:
            return None
        return MayHaveRun(ErrorKind.REQUEST_QUARANTINED, self._why(digest))

    def _why(self, digest: str) -> str:
        count = len(self._parts.evidence.endpoints(digest))
        return f"{count} endpoints crashed under this request (digest {digest})."

    def runs_at(self, endpoint_id: str) -> int:
        """Return how many suspects this relay has at an endpoint."""
        return self._places.get(endpoint_id, 0)

    @contextmanager
    def at_work(
        self, digest: str, endpoint_id: str, limit: asyncio.Timeout
    ) -> Iterator[None]:
        """Let a run's limit end as soon as its request is held."""
        runs = self._runs.setdefault(digest, set())
        runs.add(limit)
        suspect = self.standing(digest) is Standing.SUSPECT
        if suspect:
            self._places[endpoint_id] = self.runs_at(endpoint_id) + 1
        try:
            yield
        finally:
            runs.discard(limit)
            if not runs and self._runs.get(digest) is runs:
                del self._runs[digest]
            if suspect:
                self._leave(endpoint_id)

    def _leave(self, endpoint_id: str) -> None:
        left = self._places[endpoint_id] - 1
        if left:
            self._places[endpoint_id] = left
        else:
            del self._places[endpoint_id]

    def served(self, digest: str) -> None:
        """Note a success of a request."""
        if self._parts.evidence.served(digest, self._parts.clock.now()):
            self._changed("itself")

    def heard(self, member: Member, sent_at: float) -> None:
        """Note a sign of life of an endpoint on a request sent then."""
        evidence, now = self._parts.evidence, self._parts.clock.now()
        if now - evidence.last_crash > _CONTRADICTED_S:
            return
        if evidence.heard(member.endpoint_id, member.incarnation, sent_at, now):
            logger.warning("Endpoint lives after all.", endpoint=member.endpoint_id)
            self._changed("itself")

    # --- what relays saw -------------------------------------------------------
    def crashed(self, crashed: Crashed) -> None:
        """Take a crash that this relay saw, and tell all others."""
        parts, member = self._parts, crashed.member
        parts.metrics.count(Event.ENDPOINTS_CRASHED)
        seen = SeenCrash(
            member.endpoint_id, member.incarnation, member.zone, parts.clock.now()
        )
        key = parts.evidence.crashed(seen, crashed.digests)
        if key is not None:
            self._told.put_nowait([key])
            self._changed("itself")

    def take(self, message: CrashesMessage) -> dict[str, Any]:
        """Take another relay's word on crashes."""
        now = self._parts.clock.now()
        if self._parts.evidence.merge(message["crashes"], now):
            self._changed(str(message["node"]))
        return {}

    def _changed(self, who: str) -> None:
        """Act on what follows from a change: refuse, stop runs, tell what we know."""
        evidence = self._parts.evidence
        untold = evidence.untold()
        if untold:
            self._told.put_nowait(untold)
        held = {found.digest: found.endpoints for found in evidence.quarantined()}
        for digest in held.keys() - self._refused:
            self._parts.metrics.count(Event.REQUESTS_QUARANTINED)
            logger.warning(
                "Request quarantined.",
                digest=digest,
                endpoints=held[digest],
                told_by=who,
                stopped=len(self._runs.get(digest, ())),
            )
            self._stop(digest)
        for digest in self._refused - held.keys():
            logger.warning("Request no longer quarantined.", digest=digest, told_by=who)
        self._refused = set(held)

    def _stop(self, digest: str) -> None:
        """End the runs of a request: each would bring down one more endpoint."""
        now = asyncio.get_running_loop().time()
        for limit in self._runs.get(digest, ()):
            if not limit.expired():
                limit.reschedule(now)

    @Service.task
    async def _tell(self) -> None:
        while not self.should_stop:
            keys = await self._told.get()
            addresses = self._parts.budget.hearers()
            if not addresses:
                continue
            message = CrashesMessage(
                node=self._parts.node,
                crashes=self._parts.evidence.to_message(self._parts.clock.now(), keys),
            )
            await asyncio.gather(*(self._call(a, message) for a in addresses))

    async def _call(self, address: str, message: CrashesMessage) -> None:
        try:
            await self._parts.client.call(address, CRASHES, message, _CALL_S)
        except EbonydealError as exc:
            logger.info("Crash not told.", peer=address, reason=str(exc))

    @Service.task
    async def _expire(self) -> None:
        while not self.should_stop:
            await self._parts.clock.sleep(_EXPIRY_S)
            self._parts.evidence.expire(self._parts.clock.now())
            self._changed("time")

    # --- with other messages -----------------------------------------------------
    @property
    def mark(self) -> str:
        """Tells whether another relay remembers the same."""
        return self._parts.evidence.mark

    def memory(self) -> EvidenceMessage:
        """Return all that this relay remembers."""
        return self._parts.evidence.to_message(self._parts.clock.now())

    def unless(self, mark: str) -> EvidenceMessage | None:
        """Return all, or None for a relay that remembers the same."""
        return None if mark == self.mark else self.memory()

    def compare(self, word: ExchangeMessage) -> tuple[str, EvidenceMessage | None]:
        """Take a relay's memory; return the mark of ours, and ours where it differs."""
        self.learn(word.get("crashes"), word["node"])
        # One of the release before tells no mark, and can't take a memory.
        return self.mark, self.unless(word.get("crashes_mark", self.mark))

    def word(self) -> EvidenceMessage | None:
        """Return what the coordinator is told: all, where it has something else."""
        return self.unless(self._coordinators_mark)

    def heard_from(self, mark: str, message: Any, who: str) -> None:
        """Take a relay's whole memory, or None; what can't be read is left out."""
        self._coordinators_mark = mark
        self.learn(message, who)

    def learn(self, message: Any, who: str) -> None:
        """Take a relay's whole memory, or None; what can't be read is left out."""
        if message is None:
            return
        try:
            news = self._parts.evidence.merge(message, self._parts.clock.now())
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            logger.error("Crashes can't be read.", who=who, reason=repr(exc))
            return
        if news:
            self._changed(who)

    def report(self) -> list[dict[str, Any]]:
        """Return the requests that are refused, for operators."""
        return [
            {"digest": found.digest, "endpoints": list(found.endpoints)}
            for found in self._parts.evidence.quarantined()
        ]
