"""The clock and the timers of the event loop include suspended time."""

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

# Stand-ins, benchmarks and commands make no decisions that depend on elapsed time.
_EXEMPT = ("standin", "benchmarks", "soak", "commands")


class TestSystemClock:
    def test_includes_suspended_time(self, monkeypatch):
        clocks = []

        def read(clock):
            clocks.append(clock)
            return 5.0

        monkeypatch.setattr(time, "clock_gettime", read)
        assert SystemClock().now() == 5.0
        assert clocks == [time.CLOCK_BOOTTIME]

    def test_no_other_module_reads_a_clock_without_suspended_time(self):
        root = Path(ebonydeal.__file__).parent / "_internal"
        found = [
            str(path.relative_to(root))
            for path in root.rglob("*.py")
            if path.relative_to(root).parts[0] not in _EXEMPT
            and re.search(
                r"\bmonotonic\(|perf_counter|time\.monotonic", path.read_text()
            )
        ]
        # The first limits the rate of log lines, the second compares both clocks.
        assert sorted(found) == ["observe/logs.py", "utils/clock.py"]


class _SuspendableClock:
    """A clock that is ahead by ``suspended_s``, which tests increase."""

    def __init__(self):
        self.suspended_s = 0.0

    def __call__(self):
        return boottime() + self.suspended_s


class TestBoottimeEventLoop:
    @pytest.fixture
    def clock(self):
        return _SuspendableClock()

    def run(self, clock, body):
        with asyncio.Runner(loop_factory=lambda: BoottimeEventLoop(clock)) as runner:
            return runner.run(body)

    def test_timer_that_became_due_during_a_suspension_fires_at_once(self, clock):
        async def body():
            started_at = time.monotonic()
            timer = asyncio.ensure_future(asyncio.sleep(60.0))
            await asyncio.sleep(0)
            clock.suspended_s = 61.0
            # Any wake-up makes the loop check its timers.
            await asyncio.sleep(0)
            await timer
            return time.monotonic() - started_at

        assert self.run(clock, body()) < 30.0

    def test_deadline_that_passed_during_a_suspension_expires(self, clock):
        async def body():
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(60.0):
                    clock.suspended_s = 61.0
                    await asyncio.sleep(30.0)

        self.run(clock, body())


class TestSuspensionDetector:
    def test_returns_the_duration_of_a_suspension_once(self):
        times, awake_times = iter([100.0, 101.0, 106.0, 107.0]), iter([10, 11, 12, 13])
        detector = SuspensionDetector(lambda: next(times), lambda: next(awake_times))
        assert [detector.suspended_s() for _ in range(3)] == [0.0, 4.0, 0.0]
