"""Run one program's supervisor tree until a signal asks it to stop."""

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

logger = get_logger("run")

# A tenth of the shortest interval that a belief rests on, half a lease of 3 s.
_LOOK_S = 0.15
# Reading two clocks takes microseconds; a turn of another process milliseconds.
_LEAST_LAPSE_S = 0.1


SettingsReader = Callable[[], dict[str, Any] | None]
Build = Callable[[dict[str, Any], Metrics, Clock, Random], Service]


@runtime_checkable
class Reloadable(Protocol):
    """A program that takes changed settings while it runs."""

    def reload(self, settings: dict[str, Any]) -> None:
        """Take the settings as they are now."""


def _reload(service: Service, reread: SettingsReader) -> None:
    """Take changed settings; a program that can't goes on as it is."""
    program = service.label
    if not isinstance(service, Reloadable):
        logger.info("Settings are read at the start only.", program=program)
        return
    settings = reread()
    if settings is None:
        logger.error("Settings refused; the last good ones stay.")
        return
    service.reload(settings)
    logger.info("Settings read again.", program=program)


async def _watch_suspension() -> None:
    """Log suspensions, and let the loop look at its timers soon after one.

    What it waits in ends by a clock that stands still meanwhile, so a timer that was
    due is found only when anything else wakes it.
    """
    watch = SuspensionDetector()
    while True:
        await asyncio.sleep(_LOOK_S)
        suspended_s = watch.suspended_s()
        if suspended_s > _LEAST_LAPSE_S:
            logger.warning("Was suspended.", seconds=round(suspended_s, 3))


async def _serve(build: Callable[[], Service], reread: SettingsReader) -> int:
    """Start the tree, wait for a signal or a crash, stop it gracefully."""
    service = build()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    # Without a handler a hang-up would end the process.
    loop.add_signal_handler(signal.SIGHUP, _reload, service, reread)
    watching = asyncio.ensure_future(_watch_suspension())
    await service.start()
    logger.info("Started.", program=service.label)
    waits = [
        asyncio.ensure_future(stop.wait()),
        asyncio.ensure_future(service.wait_until_stopped()),
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for fut in (*waits, watching):
        fut.cancel()
    logger.info("Stopping.", program=service.label)
    await service.stop()
    return 1 if service.crashed else 0


def run_program(
    build: Callable[[], Service], reread: SettingsReader = lambda: None
) -> int:
    """Run the service that ``build`` makes inside the loop; return an exit code.

    ``reread`` returns the settings as they are at a hang-up signal, or None
    where they can't be used.

    `mode.Worker` is not used: it takes over logging and signals in ways that
    keep a second service from living in the same process (the quickstart).
    """
    with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
        return runner.run(_serve(build, reread))


def start_program(
    build: Build, settings: dict[str, Any], reread: SettingsReader
) -> int:
    """Run the program that ``build`` makes of its settings; return an exit code."""
    configure_logs(settings["logs"])
    return run_program(
        lambda: build(settings, Metrics(), SystemClock(), Random()), reread
    )
