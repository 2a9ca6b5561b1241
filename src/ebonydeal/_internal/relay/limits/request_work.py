"""What a request costs of its service's capacity.

The unit is the second of a mean endpoint of the service, so that the capacity is the
number of usable endpoints, whatever their speeds.
"""

from typing import NamedTuple, Protocol

from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.placement.engine_speed import EngineSpeed

# A plain service's cost is computed again after this long: a decision for each request
# must not go through all endpoints.
_COST_TTL_S = 0.25


class PlainEstimate(Protocol):
    """What is learned of a plain endpoint."""

    @property
    def service_s(self) -> float:
        """Seconds that a request takes while the endpoint is not full."""

    @property
    def concurrency(self) -> float:
        """Requests in flight beyond which that time grows."""


class PlainEstimates(Protocol):
    """The source of estimates of plain endpoints."""

    def estimate(self, member: Member, now: float) -> PlainEstimate | None:
        """Return what an endpoint can do; None before anything is learned of it."""


class RequestSize(NamedTuple):
    """Tokens of a request: to prefill, and the expected output."""

    uncached_tokens: float = 0.0
    output_tokens: int = 0


class _Cost(NamedTuple):
    seconds: float | None
    until: float


class RequestWork:
    """Costs of requests, by what this relay knows of the endpoints.

    Attributes
    ----------
    plain : PlainEstimates or None
        Without it the cost of requests to plain endpoints is unknown.
    """

    def __init__(self, view: RelayView, speed: EngineSpeed) -> None:
        self._view = view
        self._speed = speed
        self.plain: PlainEstimates | None = None
        self._costs: dict[str, _Cost] = {}

    def cost(self, service: str, size: RequestSize, now: float) -> float | None:
        """Return a request's endpoint seconds, or None if nothing was learned."""
        index = self._view.index
        listed = None if index is None else index.table.services.get(service)
        if listed is None:
            return None
        if listed.engine is None:
            return self._plain_cost(service, now)
        speed = self._speed
        if not speed.is_learned:
            return None
        generation_s = speed.answer_seconds(size.output_tokens) - speed.base_latency_s
        prefill_s = speed.prefill_seconds(size.uncached_tokens)
        return prefill_s + generation_s / max(1, listed.engine.slots) or None

    def _plain_cost(self, service: str, now: float) -> float | None:
        """Return the endpoint seconds of a plain request."""
        cost = self._costs.get(service)
        if cost is None or now >= cost.until:
            cost = _Cost(self._mean_cost(service, now), now + _COST_TTL_S)
            self._costs[service] = cost
        return cost.seconds

    def _mean_cost(self, service: str, now: float) -> float | None:
        """Return what one request takes of the endpoints' mean requests per second.

        The list may overstate slots. An endpoint that was not seen at its limit yet
        counts as those that were: with its listed slots it would hide a shortage.
        """
        if self.plain is None:
            return None
        full: list[PlainEstimate] = []
        other: list[PlainEstimate] = []
        for member in self._view.of_service(service):
            estimate = self.plain.estimate(member, now)
            if estimate is not None:
                is_full = estimate.concurrency < member.slots
                (full if is_full else other).append(estimate)
        limit = sum(e.concurrency for e in full) / len(full) if full else float("inf")
        rates = [e.concurrency / e.service_s for e in full]
        rates += [min(limit, e.concurrency) / e.service_s for e in other]
        total = sum(rates)
        return len(rates) / total if total > 0.0 else None
