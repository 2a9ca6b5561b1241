"""Mixed load on gateways, bounded, with the callers' own log."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from aiohttp import ClientSession, TCPConnector

from ebonydeal._internal.standin.balancer import Balancer
from ebonydeal._internal.standin.caller import Caller
from ebonydeal._internal.standin.calls import (
    Call,
    CallKind,
    CallRecord,
    chat_call,
    service_call,
)
from ebonydeal._internal.utils.clock import Clock

_KITCHENS = 8
_PREFIX_WORDS = 96
_GUESTS = 24


class LoadSpec(NamedTuple):
    """What callers send.

    Attributes
    ----------
    api_key : str
        Of the client account that sends all.
    model, service : str
        What is asked for.
    seconds : float
        How long new requests are sent.
    streams_per_s, lookups_per_s, deferred_per_s, commits_per_s : float
        Mean rates; arrivals are random.
    max_tokens : int
        Longest answer of a model.
    max_open : int
        Most requests open at once; above it, new ones wait.
    patience : float
        Seconds after which a caller gives up.
    seed : int
        Of arrivals and prompts.
    """

    api_key: str
    model: str
    service: str
    seconds: float = 10.0
    streams_per_s: float = 6.0
    lookups_per_s: float = 10.0
    deferred_per_s: float = 2.0
    commits_per_s: float = 3.0
    max_tokens: int = 60
    max_open: int = 400
    timeout_s: float = 30.0
    seed: int = 1

    @classmethod
    def from_document(
        cls, document: dict[str, Any], account: str, api_key: str, **options: Any
    ) -> "LoadSpec":
        """Build a load that ``account`` may send under a document.

        Raises ValueError where the account has no engine and no plain service.
        """
        usable = [
            item
            for item in document["deployments"]
            if account in item.get("accounts", ())
        ]
        models = [name for item in usable for name in item.get("models", ())]
        services = [item["name"] for item in usable if item["kind"] == "service"]
        if not models or not services:
            raise ValueError(f"account {account} has no model or no plain service")
        return cls(api_key, models[0], services[0], **options)

    def rate(self, kind: CallKind) -> float:
        """Return the mean rate of a kind, requests a second."""
        return {
            CallKind.STREAM: self.streams_per_s,
            CallKind.LOOKUP: self.lookups_per_s,
            CallKind.DEFERRED: self.deferred_per_s,
            CallKind.COMMIT: self.commits_per_s,
        }[kind]


def make_call(spec: LoadSpec, kind: CallKind, number: int, rng: random.Random) -> Call:
    """Return the ``number``-th request of a kind; each has content of its own."""
    call_id = f"{kind}-{spec.seed}-{number:06d}"
    match kind:
        case CallKind.LOOKUP:
            path = f"/labels/{call_id}"
            return service_call(kind, call_id, spec.service, "GET", path, b"")
        case CallKind.COMMIT:
            body = f'{{"count": {rng.randrange(500)}, "id": "{call_id}"}}'.encode()
            return service_call(
                kind, call_id, spec.service, "POST", "/counts/commit", body
            )
    kitchen = rng.randrange(_KITCHENS)
    prefix = " ".join(f"kitchen-{kitchen}-line-{line}" for line in range(_PREFIX_WORDS))
    guests = " ".join(f"guest-{rng.randrange(10_000)}" for _ in range(_GUESTS))
    prompt = f"{prefix} {guests} {call_id}"
    tokens = rng.randint(max(1, spec.max_tokens // 4), spec.max_tokens)
    return chat_call(kind, call_id, spec.model, prompt, tokens)


class LoadRun:
    """One run of a load; `records` fills while it goes.

    Parameters
    ----------
    spec : LoadSpec
        What is sent.
    balancer : Balancer
        Started; says where to.
    clock : Clock
        For arrivals.
    on_record : callable, optional
        Called with each record as its request is sent.
    """

    def __init__(
        self,
        spec: LoadSpec,
        balancer: Balancer,
        clock: Clock,
        on_record: Callable[[CallRecord], None] | None = None,
    ) -> None:
        self.records: list[CallRecord] = []
        self._spec = spec
        self._balancer = balancer
        self._clock = clock
        self._on_record = on_record
        self._open = asyncio.Semaphore(spec.max_open)

    async def run(self) -> list[CallRecord]:
        """Send for as long as asked, wait for every answer, return all logs."""
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector) as session:
            caller = Caller(
                session,
                self._balancer,
                self._spec.api_key,
                self._clock,
                self._spec.timeout_s,
            )
            await asyncio.gather(*(self._arrivals(kind, caller) for kind in CallKind))
        return self.records

    async def _arrivals(self, kind: CallKind, caller: Caller) -> None:
        """Send the requests of one kind at random intervals."""
        rate = self._spec.rate(kind)
        if rate <= 0:
            return
        rng = random.Random(f"{self._spec.seed}-{kind}")
        until = self._clock.now() + self._spec.seconds
        number = 0
        async with asyncio.TaskGroup() as tasks:
            while True:
                await self._clock.sleep(rng.expovariate(rate))
                if self._clock.now() >= until:
                    break
                await self._open.acquire()
                call = make_call(self._spec, kind, number, rng)
                number += 1
                tasks.create_task(self._send(call, caller))

    async def _send(self, call: Call, caller: Caller) -> None:
        record = CallRecord(call, started=self._clock.now())
        self.records.append(record)
        if self._on_record is not None:
            self._on_record(record)
        try:
            await caller.resume(record)
        finally:
            self._open.release()
