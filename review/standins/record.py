"""The record of one run: a line for each thing that was sent, answered or run."""

import asyncio
import logging
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TextIO

HELD, BROKEN, NO_RUN = 0, 1, 2


class Record:
    """Lines with the seconds since the start."""

    def __init__(self, file: TextIO) -> None:
        self._file = file
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def line(self, *words: object) -> None:
        """Write one line."""
        text = " ".join(str(word) for word in words)
        self._file.write(f"{self.now():8.3f} {text}\n")


def run_case(folder: Path, case: Callable[[Record, bool], Awaitable[list[str]]]) -> int:
    """Run a case; return 0 if the rule held, 1 if not, 2 if it could not run.

    ``case`` gets the record and whether the disruption is on, and returns what broke
    the rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # The store's HTTP library logs each poll whose relay was killed.
    logging.disable(logging.CRITICAL)
    # So that a run that is ended early still ends its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with (folder / "record.txt").open("w", encoding="utf-8") as file:
        record = Record(file)
        record.line("trouble" if trouble else "no trouble")
        try:
            broken = asyncio.run(_bounded(case(record, trouble)))
        except (Exception, KeyboardInterrupt) as exc:
            record.line("could not run:", repr(exc))
            print("could not run:", repr(exc), file=sys.stderr)
            return NO_RUN
        for text in broken:
            record.line("BROKEN", text)
        record.line("verdict:", "broken" if broken else "held")
        print(f"{len(broken)} breaches", *broken[:3], sep="\n  ")
    return BROKEN if broken else HELD


async def _bounded(case: Awaitable[list[str]]) -> list[str]:
    """Return the result of a case, which must end in 110 s."""
    async with asyncio.timeout(110.0):
        return await case
