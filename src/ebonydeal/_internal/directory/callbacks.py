"""Isolation from faults in the callbacks of other components."""

from collections.abc import Callable, Iterable

from ebonydeal._internal.observe.logs import get_logger

logger = get_logger("directory")


def call_all(callbacks: Iterable[Callable[..., None]], *args: object) -> None:
    """Run all callbacks; a fault in one must not stop the others or the caller."""
    for callback in callbacks:
        try:
            callback(*args)
        except Exception as exc:
            logger.error("A callback raised an exception.", exc_info=exc)
