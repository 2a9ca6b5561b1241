"""The load at an endpoint: this relay's own and that reported by other relays."""

from collections import OrderedDict
from typing import NamedTuple

from ebonydeal._internal.routing.capacity.engine_speeds import SentPrompt


class ReportedLoad(NamedTuple):
    """Requests and pending prefill tokens at an endpoint, as relays report them."""

    running: int = 0
    pending_prefill_tokens: float = 0.0
    at: float = 0.0


class EndpointLoad:
    """The load of one endpoint as this relay knows it.

    Attributes
    ----------
    running, pending_prefill_tokens : int, float
        This relay's requests at the endpoint, and their tokens still to prefill.
    reported : ReportedLoad
        The same for all other relays, from the last report.
    prefilling_until : float
        When the endpoint finishes the prefill of another relay's long prompt. That
        relay announces it when it sends the prompt.
    part_sent_at : OrderedDict
        When each prompt part was last sent to the endpoint, oldest first.
    """

    def __init__(self) -> None:
        self.running = 0
        self.pending_prefill_tokens = 0.0
        self.reported = ReportedLoad()
        self.prefilling_until = 0.0
        self.part_sent_at: OrderedDict[str, float] = OrderedDict()

    @property
    def all_running(self) -> int:
        """Requests of all relays at the endpoint, as far as known."""
        return self.running + self.reported.running

    def prefill_wait(self, prefill_rate: float, now: float, by_age: bool) -> float:
        """Return the seconds of prefill work queued before a new request.

        Parameters
        ----------
        prefill_rate : float
            Tokens per second.
        now : float
            Monotonic time, seconds.
        by_age : bool
            Whether to subtract the age of the report from the reported work. The
            report is older than most prompts take to prefill, so otherwise endpoints
            are avoided for work that they finished long ago.
        """
        reported = self.reported.pending_prefill_tokens / prefill_rate
        if by_age:
            reported = max(0.0, reported - max(0.0, now - self.reported.at))
        # The next report includes an announced long prompt, so the larger of the two
        # counts, not their sum.
        return self.pending_prefill_tokens / prefill_rate + max(
            reported, self.prefilling_until - now, 0.0
        )

    def record_parts(self, part_ids: list[str], now: float, ttl_s: float) -> None:
        """Record that parts are sent now, and drop those sent ``ttl_s`` ago."""
        for part_id in part_ids:
            self.part_sent_at[part_id] = now
            self.part_sent_at.move_to_end(part_id)
        while (
            self.part_sent_at and now - next(iter(self.part_sent_at.values())) > ttl_s
        ):
            self.part_sent_at.popitem(last=False)


class SentRequest(NamedTuple):
    """A request in flight; to be passed to `EndpointSelector.record_end`.

    ``uncached_tokens`` are the prompt tokens that the endpoint must prefill, and
    ``pending_prefill_tokens`` the tokens of short prompts that take as long.
    ``load`` is the object that counts the request: an endpoint that restarts under
    its id gets a new one. ``prompt`` is what was expected of the prefill, or None if
    nothing can be learned from it.
    """

    endpoint_id: str
    uncached_tokens: float
    pending_prefill_tokens: float
    sent_at: float
    load: EndpointLoad
    prompt: SentPrompt | None = None
