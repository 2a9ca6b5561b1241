"""One request to an endpoint, and the head of its answer."""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from ebonydeal._internal.routing.crashes.request_traits import RequestTraits


class OutgoingRequest(NamedTuple):
    """One request as its endpoint gets it.

    ``objective`` is the latency objective, seconds. ``may_send`` says whether there is
    still time to pass the request on.
    """

    request_id: str
    traits: RequestTraits
    method: str
    target: str
    headers: Iterable[tuple[str, str]]
    body: bytes
    at_most_once: bool
    objective: float
    may_send: Callable[[], bool] = lambda: True


class Exchange(Protocol):
    """An answer whose head has arrived, and whose body is yet to be read."""

    @property
    def status(self) -> int:
        """Status of the endpoint's answer."""

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Headers of the endpoint's answer, as text."""

    @property
    def connection(self) -> str:
        """The connection, and how many requests it has carried, for the log."""

    async def read_some(self) -> bytes:
        """Return the next bytes of the body, none at its end.

        Raises ClientError or OSError if it breaks off.
        """

    async def was_reset(self) -> bool:
        """Return whether a body without length ended by a reset, not a close."""

    def release(self, keepalive_s: float | None) -> None:
        """Note that the answer was read and is valid: its connection may be reused."""

    def close(self) -> None:
        """Give the exchange up; the endpoint then stops working on the request."""
