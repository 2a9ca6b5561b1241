"""What one relay knows of the load at an endpoint: its own, and what others told."""

from collections import OrderedDict
from typing import NamedTuple


class ReportedLoad(NamedTuple):
    """What other relays have at an endpoint: requests, and tokens to be read."""

    running: int = 0
    pending_prefill_tokens: float = 0.0
    at: float = 0.0


class EndpointLoad:
    """One endpoint as this relay knows it.

    Attributes
    ----------
    running, unread : int, float
        This relay's requests there, and their tokens to be read.
    told : ReportedLoad
        The same of all others, as of their last word.
    reads_until : float
        Until when the endpoint reads a long prompt of another relay, which said so
        when it sent it.
    parts : OrderedDict
        When each prompt part was last sent there, oldest first.
    """

    def __init__(self) -> None:
        self.running = 0
        self.pending_prefill_tokens = 0.0
        self.told = ReportedLoad()
        self.prefilling_until = 0.0
        self.parts: OrderedDict[str, float] = OrderedDict()

    @property
    def all_running(self) -> int:
        """Requests of all relays there, as far as known."""
        return self.running + self.told.running

    def wait(self, rate: float, now: float, by_age: bool) -> float:
        """Return the seconds of reading before a new request's.

        Parameters
        ----------
        rate : float
            Tokens that are read a second.
        now : float
            Monotonic time, seconds.
        by_age : bool
            Whether what others told has been read since by its age: the word is
            older than most prompts take to read, and endpoints would be avoided
            for work that was done long ago.
        """
        told = self.told.pending_prefill_tokens / rate
        if by_age:
            told = max(0.0, told - max(0.0, now - self.told.at))
        # A long prompt stands in the next word too: it is not counted twice.
        return self.pending_prefill_tokens / rate + max(
            told, self.prefilling_until - now, 0.0
        )

    def note_parts(self, part_ids: list[str], now: float, keep: float) -> None:
        """Note that parts are read now, and forget those of ``keep`` seconds ago."""
        for part_id in part_ids:
            self.parts[part_id] = now
            self.parts.move_to_end(part_id)
        while self.parts and now - next(iter(self.parts.values())) > keep:
            self.parts.popitem(last=False)


class SentRequest(NamedTuple):
    """A request that was sent; give it back to `EndpointSelector.record_end`.

    ``uncached_tokens`` are the prompt tokens that the endpoint must prefill, and
    ``pending_prefill_tokens`` the tokens of short prompts that take as long.
    ``load`` is the load it is counted in: an endpoint that starts again under its id
    has another.
    """

    endpoint_id: str
    uncached_tokens: float
    pending_prefill_tokens: float
    sent_at: float
    load: EndpointLoad
