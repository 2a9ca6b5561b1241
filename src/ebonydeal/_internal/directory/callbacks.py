"""Callbacks of other parts, kept from doing harm here."""

from collections.abc import Callable, Iterable

from ebonydeal._internal.observe.logs import get_logger

logger = get_logger("directory")


def call_all(callbacks: Iterable[Callable[..., None]], *args: object) -> None:
    """Call back; a fault of another part must not stop the following."""
    for callback in callbacks:
        try:
            callback(*args)
        except Exception as exc:
            logger.error("A callback failed.", exc_info=exc)
