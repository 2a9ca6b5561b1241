import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonydeal._internal.directory.crash_guard import CrashGuard
from ebonydeal._internal.errors import EbonydealError, ErrorKind, Outcome
from ebonydeal._internal.gateway.attempts import AttemptFailed, Migrate
from ebonydeal._internal.gateway.endpoint_health import EndpointHealth
from ebonydeal._internal.gateway.live_stream import Job, LiveStream
from ebonydeal._internal.gateway.stream_runner import StreamRunner, StreamRunnerParts
from ebonydeal._internal.gateway.stream_watchdog import StreamWatchdog
from ebonydeal._internal.models.requests import Priority, Request, RequestKind
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.trail import Trails
from ebonydeal._internal.outside.interfaces import Chunk, Resume
from ebonydeal._internal.settings.gateway import GatewaySettings
from tests.lib.clock import ManualClock, settle
from tests.lib.gateway_fakes import (
    MODEL,
    POOL,
    FakeDirectory,
    FakeEngine,
    FakeRetries,
    FakeRoutes,
    deployment,
    view,
)

FAULTS = ("fail", "garbage", "bug", "early", "gap", "repeat", "move", "stall", "export")
SCRIPT = st.lists(st.tuples(st.integers(0, 9), st.sampled_from(FAULTS)), max_size=8)


def request(deadline: float = 0.0) -> Request:
    return Request(
        request_id="r-0001-01",
        account="kitchen",
        deployment=POOL,
        kind=RequestKind.CHAT,
        method="POST",
        path="/v1/chat/completions",
        headers={},
        body="",
        body_object="",
        body_digest="",
        key="",
        idempotent=True,
        priority=Priority.STANDARD,
        accepted_at=0.0,
        deadline=deadline,
        prompt_tokens=10,
        max_tokens=100,
    )


class ScriptedEngine(FakeEngine):
    """Each try takes the next (tokens before it, fault) of a script."""

    def __init__(self, script, split_end: bool) -> None:
        super().__init__()
        self.script = list(script)
        self.resumes: list = []
        self.split_end = split_end
        self.post = lambda message: None
        self.begin_migration = lambda: None

    async def stream(self, endpoint, path, body, attempt_id, resume=None):
        self.open += 1
        self.resumes.append(resume)
        try:
            start = len(resume.delivered) if resume else 0
            assert list(resume.delivered if resume else ()) == self.text[:start]
            after, fault = self.script.pop(0) if self.script else (-1, "")
            for sent, position in enumerate(range(start, len(self.text))):
                if sent == after:
                    for chunk in await self.fail(fault, position):
                        yield chunk
                    if fault == "early":
                        return
                last = position + 1 == len(self.text) and not self.split_end
                yield Chunk(position, self.text[position], "stop" if last else "")
                await asyncio.sleep(0)
            if self.split_end:
                yield Chunk(len(self.text), "", "stop")
        finally:
            self.open -= 1

    async def fail(self, fault: str, position: int) -> list[Chunk]:
        match fault:
            case "fail":
                raise EbonydealError(ErrorKind.ENDPOINT_FAILED)
            case "garbage":
                raise EbonydealError(ErrorKind.ENDPOINT_GARBAGE)
            case "bug":
                raise ValueError
            case "gap":
                return [Chunk(position + 1, "lost")]
            case "repeat":
                return [Chunk(n, "again") for n in range(position)]
            case "move":
                self.post(Migrate(None, ""))
            case "export":
                self.begin_migration()
                asyncio.get_running_loop().call_later(
                    0.001, self.post, Migrate(None, "")
                )
                raise EbonydealError(ErrorKind.ENDPOINT_FAILED)
            case "stall":
                error = EbonydealError(ErrorKind.ENDPOINT_STALLED)
                self.post(AttemptFailed(error))
                await asyncio.Event().wait()
        return []


class Stage:
    """A relay over fakes, without sockets."""

    def __init__(self, engine: FakeEngine) -> None:
        self.clock = ManualClock()
        self.directory = FakeDirectory(view("e1"), view("e2"), view("e3"))
        self.retries = FakeRetries(left=1000)
        self.metrics = Metrics()
        self.engine = engine
        self.cancels: list = []
        self.gone: set[str] = set()
        self.cfg = GatewaySettings()
        parts = StreamRunnerParts(
            engine=engine,
            routes=FakeRoutes(self.directory),
            retries=self.retries,
            directory=self.directory,
            health=EndpointHealth(30.0),
            crashes=CrashGuard(self.metrics, self.clock, self.refuses),
            metrics=self.metrics,
            trails=Trails(10),
            clock=self.clock,
            rng=random.Random(1),
        )
        self.runner = StreamRunner(parts, self.cfg, self.spawn)
        self.watch = StreamWatchdog(self.runner, self.cfg, self.clock)

    async def refuses(self, address: str, _seconds: float) -> bool:
        return address in self.gone

    def spawn(self, work) -> None:
        self.cancels.append(asyncio.ensure_future(work))

    def live(self, deadline: float = 0.0) -> LiveStream:
        job = Job(request(deadline), deployment(POOL, "engine"), MODEL, {}, ())
        return LiveStream(job)

    async def run(self, live: LiveStream) -> list:
        pieces = []
        async for batch in self.runner.run(live):
            pieces.extend(batch)
        return pieces


class TestRelay:
    @given(SCRIPT, st.booleans())
    def test_each_token_once_and_in_order(self, script, split_end):
        asyncio.run(self.check(script, split_end))

    async def check(self, script, split_end):
        engine = ScriptedEngine(script, split_end)
        stage = Stage(engine)
        live = stage.live()
        engine.post = lambda message: live.attempt.mailbox.post(message)
        engine.begin_migration = lambda: setattr(live, "migrating", True)
        pieces = await stage.run(live)
        tokens = [piece for piece in pieces if piece.is_token]
        assert [piece.text for piece in tokens] == engine.text
        assert [piece.position for piece in tokens] == list(range(len(engine.text)))
        assert [piece.finish for piece in pieces if piece.finish] == ["stop"]
        assert pieces[-1].finish == "stop"
        assert live.delivered == engine.text
        await asyncio.gather(*stage.cancels)
        assert (engine.open, stage.runner.live_streams) == (0, set())

    async def test_deadline_is_checked_before_each_try(self):
        engine = FakeEngine()
        stage = Stage(engine)
        live = stage.live(deadline=stage.clock.wall())
        with pytest.raises(EbonydealError) as caught:
            await stage.run(live)
        assert caught.value.kind is ErrorKind.DEADLINE_EXCEEDED
        assert engine.ran == []

    async def test_no_retry_past_the_deadline(self):
        engine = FakeEngine()
        engine.faults = {"e1": (2, EbonydealError(ErrorKind.ENDPOINT_FAILED))}
        stage = Stage(engine)
        stage.retries.left = 0
        stage.directory.all = stage.directory.all[:1]
        live = stage.live(deadline=stage.clock.wall() + 5.0)
        call = asyncio.ensure_future(stage.run(live))
        await stage.clock.advance(6.0)
        with pytest.raises(EbonydealError) as caught:
            await call
        assert caught.value.kind is ErrorKind.DEADLINE_EXCEEDED
        assert len(engine.ran) == 1

    async def test_engine_refuses_the_body(self):
        engine = FakeEngine()
        engine.faults = {"e1": (0, EbonydealError(ErrorKind.BAD_REQUEST, "top_k"))}
        stage = Stage(engine)
        with pytest.raises(EbonydealError) as caught:
            await stage.run(stage.live())
        assert caught.value.kind is ErrorKind.BAD_REQUEST
        assert len(engine.ran) == 1

    async def test_nowhere_to_go(self):
        stage = Stage(FakeEngine())
        stage.directory.all.clear()
        stage.retries.left = 0
        with pytest.raises(EbonydealError) as caught:
            await stage.run(stage.live())
        assert caught.value.kind is ErrorKind.NO_ENDPOINT

    async def test_export_that_stops_its_source(self):
        engine = ScriptedEngine([(3, "export")], False)
        stage = Stage(engine)
        live = stage.live()
        target = Migrate(view("e2"), "kv-1")
        engine.post = lambda _message: live.attempt.mailbox.post(target)
        engine.begin_migration = lambda: setattr(live, "migrating", True)
        await stage.run(live)
        assert engine.resumes[1] == Resume(tuple(engine.text[:3]), "kv-1")
        assert stage.metrics.retries() == {"leaving": 1}

    async def test_moved_to_a_target_that_leaves_meanwhile(self):
        engine = ScriptedEngine([(2, "move")], False)
        stage = Stage(engine)
        live = stage.live()

        def post(_message) -> None:
            stage.directory.leaving = {"e1": 0.0, "e3": 0.0}
            live.attempt.mailbox.post(Migrate(view("e3"), "kv-1"))

        engine.post = post
        starts = []
        stage.runner._parts.routes.choose = spy(
            stage.runner._parts.routes.choose, starts
        )
        await stage.run(live)
        assert [route.endpoint.endpoint_id for route in starts] == ["e1", "e2"]
        assert live.delivered == engine.text


def spy(choose, results):
    def wrapper(ask, now):
        results.append(choose(ask, now))
        return results[-1]

    return wrapper


class TestStreamWatch:
    async def stalled(self, after: int) -> tuple[Stage, asyncio.Future]:
        engine = FakeEngine()
        engine.faults = {"e1": (after, "stall")}
        stage = Stage(engine)
        call = asyncio.ensure_future(stage.run(stage.live()))
        await settle()
        return stage, call

    @pytest.mark.parametrize("after, limit", [(0, 30.0), (3, 5.0)])
    async def test_stall(self, after, limit):
        stage, call = await self.stalled(after)
        await stage.clock.advance(limit)
        stage.watch.check()
        await settle()
        assert len(stage.engine.ran) == 1
        await stage.clock.advance(0.1)
        stage.watch.check()
        pieces = await call
        assert "".join(piece.text for piece in pieces) == "".join(stage.engine.text)
        assert stage.metrics.retries() == {"endpoint_stalled": 1}

    async def test_move_under_way_is_no_stall(self):
        stage, call = await self.stalled(3)
        (live,) = stage.runner.live_streams
        live.migrating = True
        await stage.clock.advance(60.0)
        stage.watch.check()
        await settle()
        assert len(stage.engine.ran) == 1
        stage.directory.mark("e1")
        live.attempt.mailbox.post(Migrate(None, ""))
        await call
        assert stage.metrics.retries() == {"leaving": 1}

    async def test_slow_reader_is_no_stall(self):
        stage = Stage(FakeEngine())
        live = stage.live()
        stage.cfg = stage.cfg._replace(buffer_tokens=2)
        batches = StreamRunner(stage.runner._parts, stage.cfg, stage.spawn).run(live)
        await anext(batches)
        await settle()
        assert live.attempt.waiting_since is None
        await batches.aclose()
        assert stage.engine.open == 0


class TestCrashes:
    async def test_a_request_that_brings_endpoints_down_isnt_sent_to_a_fourth(self):
        engine = ScriptedEngine([(0, "fail")] * 9, False)
        stage = Stage(engine)
        stage.gone = {"e1:80", "e2:80", "e3:80"}
        stage.retries.next_delay = lambda *_args: 0.2
        stage.runner._parts.health.any_working = lambda *_args: False
        answer = asyncio.ensure_future(stage.run(stage.live()))
        while not answer.done():
            await stage.clock.advance(0.2)
        error = answer.exception()
        assert error.kind is ErrorKind.REQUEST_QUARANTINED
        # It has run: nothing may say that it hasn't.
        assert error.outcome is Outcome.UNKNOWN
        assert len(engine.resumes) == 3
