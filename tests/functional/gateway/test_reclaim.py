import asyncio
import time
from collections import Counter

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway import stream_migrator
from ebonydeal._internal.routing.reclaim.migration_plan import (
    ExportTo,
    KeepRunning,
    Recompute,
)
from tests.functional.gateway.test_generation import BODY, client, until
from tests.lib.gateway_fakes import Bench, FakeEngine

GONE = EbonydealError(ErrorKind.ENDPOINT_FAILED, "gone")


class TokenGate:
    """Blocks the engine after a number of tokens until it is opened."""

    def __init__(self, engine: FakeEngine, after: int) -> None:
        self._remaining = after
        self._opened = asyncio.Event()
        engine.pace = self.wait

    async def wait(self) -> None:
        if self._remaining == 0:
            await self._opened.wait()
        self._remaining = max(0, self._remaining - 1)

    def open(self) -> None:
        self._opened.set()


class TestReclaim:
    async def reclaim(self, engine: FakeEngine, notice: float, **changes) -> Bench:
        """Mark e1 as leaving after three tokens of an answer; check the content."""
        gate = TokenGate(engine, 3)
        async with Bench(engine, max_output_tokens=100_000) as bench:
            async with client(bench) as api:
                call = asyncio.ensure_future(api.chat.completions.create(**BODY))
                runner = bench.program.stream_runner
                await until(
                    lambda: any(
                        len(live.delivered) == 3 for live in runner.live_streams
                    )
                )
                bench.directory.mark("e1", time.time() + notice)
                await until(lambda: len(engine.attempts) == 2)
                gate.open()
                answer = await call
        assert answer.choices[0].message.content == "".join(engine.text)
        return bench

    async def test_kv_cache_is_transferred(self):
        engine = FakeEngine()
        bench = await self.reclaim(engine, notice=10.0)
        events = bench.metrics.events()
        assert engine.exports == [("e1", engine.attempts[0].attempt_id)]
        assert (
            engine.attempts[1].resume.kv_handle == f"kv-{engine.attempts[0].attempt_id}"
        )
        assert list(engine.attempts[1].resume.delivered) == engine.text[:3]
        assert events.get("tokens_recomputed_reclaim", 0) == 0
        assert (events["kv_imported"], events["streams_moved"]) == (1, 1)
        assert bench.metrics.retries() == {"leaving": 1}

    async def test_recomputed_without_time_to_export(self):
        engine = FakeEngine()
        bench = await self.reclaim(engine, notice=0.0)
        assert engine.exports == []
        assert engine.attempts[1].resume.kv_handle == ""
        assert bench.metrics.events()["tokens_recomputed_reclaim"] == 13

    async def test_recomputed_after_a_failed_export(self):
        engine = FakeEngine()
        engine.export_fault = GONE
        bench = await self.reclaim(engine, notice=10.0)
        assert engine.attempts[1].resume.kv_handle == ""
        assert bench.metrics.events()["kv_export_failed"] == 1

    async def test_recomputed_after_a_failed_import(self):
        engine = FakeEngine()
        engine.import_fault = GONE
        bench = await self.reclaim(engine, notice=10.0)
        assert engine.attempts[1].resume.kv_handle == ""
        assert bench.metrics.events()["kv_export_failed"] == 2

    async def test_stream_on_another_endpoint_stays(self):
        engine = FakeEngine()
        gate = TokenGate(engine, 3)
        async with Bench(engine) as bench, client(bench) as api:
            call = asyncio.ensure_future(api.chat.completions.create(**BODY))
            await until(lambda: len(engine.attempts) == 1)
            bench.directory.mark("e3")
            await asyncio.sleep(0.1)
            gate.open()
            await call
        assert len(engine.attempts) == 1


class TestReplan:
    async def test_streams_of_a_source_are_planned_together(self, monkeypatch):
        engine = FakeEngine()
        passed: Counter[asyncio.Task | None] = Counter()
        opened, exporting = asyncio.Event(), asyncio.Event()
        plans: list[tuple[set[str], dict[str, float]]] = []

        async def pause_after_three_tokens():
            task = asyncio.current_task()
            passed[task] += 1
            if passed[task] > 3:
                await opened.wait()

        async def export_kv(endpoint, attempt_id):
            await exporting.wait()
            return "kv"

        def plan(streams, notice, rate, targets, now, *, source_busy, **_more):
            keys = [stream.request_id for stream in streams]
            plans.append((set(keys), source_busy))
            target = next(it.view for it in targets if it.view.endpoint_id == "e2")
            if len(plans) == 1:
                # The second action is due long after the review of the first one.
                return [
                    KeepRunning(keys[0], now),
                    Recompute(keys[1], target, now + 60.0),
                ]
            if len(plans) == 2:
                first = ExportTo(keys[0], target, now, 30.0)
                return [first, KeepRunning(keys[1], now + 0.02)]
            return [Recompute(key, target, now) for key in keys]

        engine.pace = pause_after_three_tokens
        engine.export_kv = export_kv
        monkeypatch.setattr(stream_migrator, "plan_migrations", plan)
        async with Bench(engine) as bench, client(bench) as api:
            create = api.chat.completions.create
            calls = [asyncio.ensure_future(create(**BODY)) for _ in range(2)]
            live = bench.program.stream_runner.live_streams
            await until(lambda: [len(it.delivered) for it in live] == [3, 3])
            bench.directory.mark("e1", time.time() + 100.0)
            await until(lambda: len(engine.attempts) == 3)
            exporting.set()
            await until(lambda: len(engine.attempts) == 4)
            opened.set()
            answers = [await call for call in calls]
        both = {attempt.attempt_id for attempt in engine.attempts[:2]}
        assert [len(keys) for keys, _source_busy in plans] == [2, 2, 1]
        assert plans[0][0] == plans[1][0] == both
        assert plans[0][1] == plans[1][1] == {}
        assert 0.0 < plans[2][1]["e1"] <= 30.0
        text = "".join(engine.text)
        assert [it.choices[0].message.content for it in answers] == [text] * 2
        assert sorted(attempt.resume.kv_handle for attempt in engine.attempts[2:]) == [
            "",
            "kv",
        ]
