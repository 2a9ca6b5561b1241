"""Run one program's supervisor tree until a signal asks it to stop."""

import asyncio
import signal
from collections.abc import Callable

from mode import Service

from ebonydeal._internal.observe.logs import get_logger

logger = get_logger("run")


async def _serve(build: Callable[[], Service]) -> int:
    """Start the tree, wait for a signal or a crash, stop it gracefully."""
    service = build()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    await service.start()
    logger.info("Started.", program=service.label)
    waits = [
        asyncio.ensure_future(stop.wait()),
        asyncio.ensure_future(service.wait_until_stopped()),
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for fut in waits:
        fut.cancel()
    logger.info("Stopping.", program=service.label)
    await service.stop()
    return 1 if service.crashed else 0


def run_program(build: Callable[[], Service]) -> int:
    """Run the service that ``build`` makes inside the loop; return an exit code.

    `mode.Worker` is not used: it takes over logging and signals in ways that
    keep a second service from living in the same process (the quickstart).
    """
    return asyncio.run(_serve(build))
