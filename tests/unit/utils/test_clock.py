"""Suspended time counts, in the clock and in the loop's timers."""

import asyncio
import re
import time
from pathlib import Path

import pytest

import ebonydeal
from ebonydeal._internal.utils.clock import (
    BoottimeEventLoop,
    SuspensionDetector,
    SystemClock,
    boottime,
)

# Stand-ins, measurements and commands hold no belief over time.
_OUTSIDE = ("standin", "benchmarks", "soak", "commands")


class TestSystemClock:
    def test_counts_suspended_time(self, monkeypatch):
        seen = []

        def read(clock):
            seen.append(clock)
            return 5.0

        monkeypatch.setattr(time, "clock_gettime", read)
        assert SystemClock().now() == 5.0
        assert seen == [time.CLOCK_BOOTTIME]

    def test_nothing_else_reads_a_clock_that_stands_still(self):
        root = Path(ebonydeal.__file__).parent / "_internal"
        found = [
            str(path.relative_to(root))
            for path in root.rglob("*.py")
            if path.relative_to(root).parts[0] not in _OUTSIDE
            and re.search(
                r"\bmonotonic\(|perf_counter|time\.monotonic", path.read_text()
            )
        ]
        # One compares both, the other counts lines of logs.
        assert sorted(found) == ["observe/logs.py", "utils/clock.py"]


class _Suspended:
    """A clock that jumps ahead by ``suspended_s`` when told."""

    def __init__(self):
        self.suspended_s = 0.0

    def __call__(self):
        return boottime() + self.suspended_s


class TestBoottimeEventLoop:
    @pytest.fixture
    def clock(self):
        return _Suspended()

    def run(self, clock, body):
        with asyncio.Runner(loop_factory=lambda: BoottimeEventLoop(clock)) as runner:
            return runner.run(body)

    def test_a_timer_that_was_due_meanwhile_ends_at_once(self, clock):
        async def body():
            begun = time.monotonic()
            waiting = asyncio.ensure_future(asyncio.sleep(60.0))
            await asyncio.sleep(0)
            clock.suspended_s = 61.0
            # Anything that wakes the loop lets it look.
            await asyncio.sleep(0)
            await waiting
            return time.monotonic() - begun

        assert self.run(clock, body()) < 30.0

    def test_a_deadline_that_passed_meanwhile_is_over(self, clock):
        async def body():
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(60.0):
                    clock.suspended_s = 61.0
                    await asyncio.sleep(30.0)

        self.run(clock, body())


class TestSuspensionDetector:
    def test_tells_how_long_it_was(self):
        counts, stands = iter([100.0, 101.0, 106.0, 107.0]), iter([10, 11, 12, 13])
        watch = SuspensionDetector(lambda: next(counts), lambda: next(stands))
        assert [watch.suspended_s() for _ in range(3)] == [0.0, 4.0, 0.0]
