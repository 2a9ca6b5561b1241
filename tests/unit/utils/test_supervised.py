"""A failed background task is restarted, and ends no program."""

import asyncio

import pytest

from ebonydeal._internal.utils import supervised
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task


class Worker(SupervisedService):
    """Its task fails some times, then works."""

    def __init__(self, failures):
        super().__init__()
        self.failures, self.runs, self.failed = failures, 0, 0
        self.on_task_failed = self._count

    def _count(self):
        self.failed += 1

    @supervised_task
    async def _work(self):
        self.runs += 1
        if self.runs <= self.failures:
            raise KeyError("address")
        await asyncio.Future()


async def run_for(worker, turns=200):
    await worker.start()
    for _ in range(turns):
        await asyncio.sleep(0)
    return worker


class TestSupervisedTask:
    @pytest.fixture(autouse=True)
    def restart_at_once(self, monkeypatch):
        monkeypatch.setattr(supervised, "_RESTART_PAUSE_S", 0.0)

    async def test_is_restarted_after_an_error(self):
        worker = await run_for(Worker(failures=3))
        assert (worker.runs, worker.failed, worker.crashed) == (4, 3, False)
        await worker.stop()

    async def test_stops_the_program_if_it_always_fails(self):
        worker = await run_for(Worker(failures=100))
        assert worker.crashed
        assert worker.runs == 6
        await worker.stop()

    async def test_is_not_restarted_after_the_stop(self):
        worker = await run_for(Worker(failures=0))
        await worker.stop()
        assert (worker.runs, worker.failed) == (1, 0)

    async def test_failed_call_is_counted_and_ends_nothing(self):
        worker = await run_for(Worker(failures=0))

        async def call():
            raise KeyError("address")

        worker.run_once(call())
        await asyncio.sleep(0.01)
        assert (worker.failed, worker.crashed) == (1, False)
        await worker.stop()
