"""Generator of a mixed, bounded load on gateways, which records all outcomes."""

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

_PREFIX_COUNT = 8
_PREFIX_WORDS = 96
_SUFFIX_WORDS = 24


class LoadSpec(NamedTuple):
    """Specification of a load.

    Attributes
    ----------
    api_key : str
        API key of the client account that sends all requests.
    model, service : str
        Model and plain service that are requested.
    seconds : float
        Seconds for which new requests are sent.
    streams_per_s, lookups_per_s, deferred_per_s, commits_per_s : float
        Mean request rates; arrivals are random.
    max_tokens : int
        Maximum length of a model's answer.
    max_open : int
        Maximum number of requests in flight; further ones wait.
    timeout_s : float
        Seconds after which a caller gives up.
    seed : int
        Seed of arrivals and prompts.
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
        """Build a load that a document allows ``account`` to send.

        Raises ValueError if the account lacks a model or a plain service.
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
        """Return the mean rate of a kind, in requests per second."""
        return {
            CallKind.STREAM: self.streams_per_s,
            CallKind.LOOKUP: self.lookups_per_s,
            CallKind.DEFERRED: self.deferred_per_s,
            CallKind.COMMIT: self.commits_per_s,
        }[kind]


def make_call(spec: LoadSpec, kind: CallKind, number: int, rng: random.Random) -> Call:
    """Return the ``number``-th request of a kind; the content of each is unique."""
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
    kitchen = rng.randrange(_PREFIX_COUNT)
    prefix = " ".join(f"kitchen-{kitchen}-line-{line}" for line in range(_PREFIX_WORDS))
    guests = " ".join(f"guest-{rng.randrange(10_000)}" for _ in range(_SUFFIX_WORDS))
    prompt = f"{prefix} {guests} {call_id}"
    tokens = rng.randint(max(1, spec.max_tokens // 4), spec.max_tokens)
    return chat_call(kind, call_id, spec.model, prompt, tokens)


class LoadRun:
    """One run of a load; `records` grows during the run.

    Parameters
    ----------
    spec : LoadSpec
        Load to send.
    balancer : Balancer
        Picks the gateways; must be started.
    clock : Clock
        Clock of the arrivals.
    on_record : callable, optional
        Called with each record before its request is sent.
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
        self._open_slots = asyncio.Semaphore(spec.max_open)

    async def run(self) -> list[CallRecord]:
        """Send the load, wait for all outcomes, and return all records."""
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector) as session:
            caller = Caller(
                session,
                self._balancer,
                self._spec.api_key,
                self._clock,
                self._spec.timeout_s,
            )
            await asyncio.gather(*(self._send_kind(kind, caller) for kind in CallKind))
        return self.records

    async def _send_kind(self, kind: CallKind, caller: Caller) -> None:
        """Send the requests of one kind at random intervals."""
        rate = self._spec.rate(kind)
        if rate <= 0:
            return
        rng = random.Random(f"{self._spec.seed}-{kind}")
        deadline = self._clock.now() + self._spec.seconds
        number = 0
        async with asyncio.TaskGroup() as tasks:
            while True:
                await self._clock.sleep(rng.expovariate(rate))
                if self._clock.now() >= deadline:
                    break
                await self._open_slots.acquire()
                call = make_call(self._spec, kind, number, rng)
                number += 1
                tasks.create_task(self._send(call, caller))

    async def _send(self, call: Call, caller: Caller) -> None:
        record = CallRecord(call, started_at=self._clock.now())
        self.records.append(record)
        if self._on_record is not None:
            self._on_record(record)
        try:
            await caller.resume(record)
        finally:
            self._open_slots.release()
