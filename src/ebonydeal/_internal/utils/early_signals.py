"""Keeps a reload signal from ending a program that is still loading.

Without a handler SIGHUP ends a process, and the event loop's is set only once the
program has loaded. This module is imported before all others, so it imports little.
"""

import signal
from types import FrameType

_has_come = False


def _note(_signum: int, _frame: FrameType | None) -> None:
    global _has_come
    _has_come = True


def hold_reload() -> None:
    """Note a reload signal until the program has started."""
    signal.signal(signal.SIGHUP, _note)


def take_reload() -> bool:
    """Return whether a reload signal came while the program was loading."""
    global _has_come
    came, _has_come = _has_come, False
    return came
