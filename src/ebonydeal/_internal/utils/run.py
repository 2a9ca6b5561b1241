"""Runs the service tree of one program until a signal stops it."""

import asyncio
import signal
from collections.abc import Callable
from random import Random
from typing import Any, Protocol, runtime_checkable

from mode import Service

from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.logs import configure_logs, get_logger
from ebonydeal._internal.utils.clock import (
    BoottimeEventLoop,
    Clock,
    SuspensionDetector,
    SystemClock,
)
from ebonydeal._internal.utils.early_signals import hold_reload, take_reload

logger = get_logger("run")

# A tenth of the shortest interval that decisions depend on, half a lease of 3 s.
_SUSPENSION_CHECK_INTERVAL_S = 0.15
# Between the reads of the two clocks another process may run for milliseconds.
_MIN_SUSPENSION_S = 0.1


SettingsReader = Callable[[], dict[str, Any] | None]
Build = Callable[[dict[str, Any], Metrics, Clock, Random], Service]


@runtime_checkable
class Reloadable(Protocol):
    """A program that applies changed settings while it runs."""

    def reload(self, settings: dict[str, Any]) -> None:
        """Apply ``settings``."""


class Reloader:
    """Applies changed settings, if the program supports it and they are valid.

    They are read in a thread, as the first time loads modules. That takes a fifth of a
    second on a busy machine, and requests are served meanwhile.

    Parameters
    ----------
    service : Service
        The program.
    reread : callable
        Returns the current settings, or None if they are invalid.
    """

    def __init__(self, service: Service, reread: SettingsReader) -> None:
        self._service = service
        self._reread = reread
        self._task: asyncio.Task[None] | None = None
        self._is_requested = False

    def request(self) -> None:
        """Read the settings, or once more if they are just being read."""
        self._is_requested = True
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        while self._is_requested:
            self._is_requested = False
            await self._apply()

    async def _apply(self) -> None:
        service, program = self._service, self._service.label
        if not isinstance(service, Reloadable):
            logger.info(
                "Settings can't be changed while the program runs.",
                program=program,
            )
            return
        clock = SystemClock()
        began = clock.now()
        try:
            settings = await asyncio.to_thread(self._reread)
        except Exception as exc:
            logger.error("Settings can't be read.", exc_info=exc)
            settings = None
        if settings is None:
            logger.error("Settings refused; the last good ones stay.")
            return
        service.reload(settings)
        took_s = round(clock.now() - began, 4)
        logger.info("Settings read again.", program=program, took_s=took_s)


async def _watch_suspension() -> None:
    """Log suspensions, and wake the event loop soon after one.

    The loop's selector waits by a clock that stops during a suspension. Without this
    regular wake-up, timers that became due meanwhile would run late.
    """
    detector = SuspensionDetector()
    while True:
        await asyncio.sleep(_SUSPENSION_CHECK_INTERVAL_S)
        suspended_s = detector.suspended_s()
        if suspended_s > _MIN_SUSPENSION_S:
            logger.warning("Was suspended.", seconds=round(suspended_s, 3))


async def _serve(build: Callable[[], Service], reread: SettingsReader) -> int:
    """Start the service, wait for a signal or a crash, and stop it gracefully."""
    service = build()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    # Without a handler, SIGHUP would terminate the process.
    reloader = Reloader(service, reread)
    loop.add_signal_handler(signal.SIGHUP, reloader.request)
    watcher = asyncio.ensure_future(_watch_suspension())
    await service.start()
    logger.info("Started.", program=service.label)
    if take_reload():
        # The file may have changed since it was read.
        reloader.request()
    waits = [
        asyncio.ensure_future(stop.wait()),
        asyncio.ensure_future(service.wait_until_stopped()),
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for fut in (*waits, watcher):
        fut.cancel()
    logger.info("Stopping.", program=service.label)
    await service.stop()
    return 1 if service.crashed else 0


def run_program(
    build: Callable[[], Service], reread: SettingsReader = lambda: None
) -> int:
    """Run the service that ``build`` returns in a new loop; return an exit code.

    ``reread`` is called on SIGHUP and returns the current settings, or None if they
    are invalid.

    `mode.Worker` is not used: it takes over logging and signals, so that a second
    service couldn't run in the same process, as in the quickstart.
    """
    with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
        return runner.run(_serve(build, reread))


def start_program(
    build: Build, settings: dict[str, Any], reread: SettingsReader
) -> int:
    """Build the program from its settings and run it; return an exit code."""
    hold_reload()
    configure_logs(settings["logs"])
    return run_program(
        lambda: build(settings, Metrics(), SystemClock(), Random()), reread
    )
