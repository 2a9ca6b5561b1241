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


class QueueSetup:
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

    def admit(self, name: str = "r-1", priority: Priority = Priority.STANDARD):
        req = request()._replace(request_id=name, priority=priority)
        return asyncio.ensure_future(self.queue.admit(req, DEPLOYMENT))

    def steps(self, name: str) -> list[str]:
        return [step["step"] for step in self.trails.steps(name) or []]


class TestAdmissionQueue:
    async def test_request_waits_for_a_slot(self):
        setup = QueueSetup(1)
        first = await setup.admit()
        second = setup.admit("r-2")
        await settle()
        assert not second.done()
        assert setup.steps("r-2") == ["queued"]
        first.release(10)
        assert (await second) is not None

    async def test_higher_priority_is_admitted_first(self):
        setup = QueueSetup(1)
        first = await setup.admit()
        batch = setup.admit("r-2", Priority.BATCH)
        await settle()
        urgent = setup.admit("r-3", Priority.INTERACTIVE)
        await settle()
        first.release(10)
        await settle()
        assert (urgent.done(), batch.done()) == (True, False)
        urgent.result().release(10)
        await batch

    async def test_full_queue_refuses_without_waiting(self):
        setup = QueueSetup(1, queue=0)
        await setup.admit()
        with pytest.raises(EbonydealError) as caught:
            await setup.admit("r-2")
        assert caught.value.kind is ErrorKind.QUEUE_FULL
        assert caught.value.retry_after > 0

    async def test_cancelled_wait_holds_no_slot(self):
        setup = QueueSetup(1)
        first = await setup.admit()
        cancelled = setup.admit("r-2")
        third = setup.admit("r-3")
        await settle()
        cancelled.cancel()
        await settle()
        first.release(10)
        (await third).release(10)
        assert (await setup.admit("r-4")) is not None

    async def test_wait_ends_at_the_limit(self):
        setup = QueueSetup(1, longest_wait=5.0)
        await setup.admit()
        second = setup.admit("r-2")
        await settle()
        await setup.clock.advance(5.1)
        setup.queue._admit_waiting()
        with pytest.raises(EbonydealError) as caught:
            await second
        assert caught.value.kind is ErrorKind.QUEUE_FULL

    async def test_account_limit_refuses_a_request(self):
        setup = QueueSetup(9)
        account = setup.config.document.accounts["kitchen"]
        setup.config.document.accounts["kitchen"] = account._replace(concurrency=1)
        ticket = await setup.admit()
        with pytest.raises(EbonydealError) as caught:
            await setup.admit("r-2")
        assert caught.value.kind is ErrorKind.RATE_LIMITED
        ticket.release(1)
        assert (await setup.admit("r-3")) is not None

    async def test_deferred_request_needs_no_slot_but_counts(self):
        setup = QueueSetup(0)
        account = setup.config.document.accounts["kitchen"]
        limited = account._replace(requests_per_s=1.0)
        setup.config.document.accounts["kitchen"] = limited
        setup.queue.admit_deferred(request()).release(0)
        with pytest.raises(EbonydealError) as caught:
            setup.queue.admit_deferred(request())
        assert caught.value.kind is ErrorKind.RATE_LIMITED
        assert caught.value.retry_after > 0
        await setup.clock.advance(1.5)
        setup.queue.admit_deferred(request()).release(0)
