import asyncio
import random

import pytest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.admission_queue import AdmissionQueue
from ebonydeal._internal.models.requests import Priority
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.trail import Trails
from ebonydeal._internal.routing.admission.admission import Admission
from ebonydeal._internal.settings.routing import AdmissionSettings
from tests.lib.clock import ManualClock, settle
from tests.lib.gateway_fakes import POOL, FakeConfig, deployment
from tests.unit.gateway.test_stream_runner import request

DEPLOYMENT = deployment(POOL, "engine")


class Office:
    def __init__(self, slots: int, **settings) -> None:
        self.slots = slots
        self.clock = ManualClock()
        self.config = FakeConfig()
        self.trails = Trails(10)
        cfg = AdmissionSettings(**settings)
        rng = random.Random(1)
        self.queue = AdmissionQueue(
            Admission.from_config(cfg, "gw-1", rng),
            lambda _name: self.slots,
            self.config,
            Metrics(),
            self.trails,
            self.clock,
            rng,
        )

    def ask(self, name: str = "r-1", priority: Priority = Priority.STANDARD):
        req = request()._replace(request_id=name, priority=priority)
        return asyncio.ensure_future(self.queue.admit(req, DEPLOYMENT))

    def steps(self, name: str) -> list[str]:
        return [step["step"] for step in self.trails.steps(name) or []]


class TestAdmissionDesk:
    async def test_waits_for_a_slot(self):
        office = Office(1)
        first = await office.ask()
        second = office.ask("r-2")
        await settle()
        assert not second.done()
        assert office.steps("r-2") == ["queued"]
        first.release(10)
        assert (await second) is not None

    async def test_higher_class_goes_first(self):
        office = Office(1)
        first = await office.ask()
        batch = office.ask("r-2", Priority.BATCH)
        await settle()
        urgent = office.ask("r-3", Priority.INTERACTIVE)
        await settle()
        first.release(10)
        await settle()
        assert (urgent.done(), batch.done()) == (True, False)
        urgent.result().release(10)
        await batch

    async def test_full_queue_is_refused_at_once(self):
        office = Office(1, queue=0)
        await office.ask()
        with pytest.raises(EbonydealError) as caught:
            await office.ask("r-2")
        assert caught.value.kind is ErrorKind.QUEUE_FULL
        assert caught.value.retry_after > 0

    async def test_caller_who_leaves_the_queue_holds_no_slot(self):
        office = Office(1)
        first = await office.ask()
        left = office.ask("r-2")
        third = office.ask("r-3")
        await settle()
        left.cancel()
        await settle()
        first.release(10)
        (await third).release(10)
        assert (await office.ask("r-4")) is not None

    async def test_waits_no_longer_than_allowed(self):
        office = Office(1, longest_wait=5.0)
        await office.ask()
        second = office.ask("r-2")
        await settle()
        await office.clock.advance(5.1)
        office.queue._admit_waiting()
        with pytest.raises(EbonydealError) as caught:
            await second
        assert caught.value.kind is ErrorKind.QUEUE_FULL

    async def test_account_limit(self):
        office = Office(9)
        account = office.config.document.accounts["kitchen"]
        office.config.document.accounts["kitchen"] = account._replace(concurrency=1)
        ticket = await office.ask()
        with pytest.raises(EbonydealError) as caught:
            await office.ask("r-2")
        assert caught.value.kind is ErrorKind.RATE_LIMITED
        ticket.release(1)
        assert (await office.ask("r-3")) is not None

    async def test_deferred_needs_no_slot_but_counts(self):
        office = Office(0)
        account = office.config.document.accounts["kitchen"]
        limited = account._replace(requests_per_s=1.0)
        office.config.document.accounts["kitchen"] = limited
        office.queue.admit_deferred(request()).release(0)
        with pytest.raises(EbonydealError) as caught:
            office.queue.admit_deferred(request())
        assert caught.value.kind is ErrorKind.RATE_LIMITED
        assert caught.value.retry_after > 0
        await office.clock.advance(1.5)
        office.queue.admit_deferred(request()).release(0)
