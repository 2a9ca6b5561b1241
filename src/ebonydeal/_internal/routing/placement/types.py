"""Values that the routing decisions take and return.

Times are wall clock seconds; money is in the configuration document's currency.
"""

from typing import NamedTuple

from ebonydeal._internal.models.document import Weights
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.models.places import Place

NEUTRAL_WEIGHTS = Weights(cost=1.0, recompute=1.0)


class RouteRequest(NamedTuple):
    """What routing needs to know of a request.

    Attributes
    ----------
    request_id : str
        For `Router.sent` and what follows.
    deployment : str
        Deployment or plain service name.
    model : str
        Model or adapter; empty for a plain service.
    blocks : tuple of str
        Chained hashes of the prompt (see `utils.prefix`); empty if unknown.
    prompt_tokens, max_tokens : int
        Estimated prompt tokens, and most output tokens.
    place : Place
        Where this gateway runs.
    session : str
        Caller's session, or empty.
    exclude : frozenset of str
        Endpoint ids that were tried already.
    weights : Weights
        What counts for the deployment.
    first_token_s : float
        Latency target of the first token, seconds.
    """

    request_id: str
    deployment: str
    model: str
    blocks: tuple[str, ...]
    prompt_tokens: int
    max_tokens: int
    place: Place
    session: str = ""
    exclude: frozenset[str] = frozenset()
    weights: Weights = NEUTRAL_WEIGHTS
    first_token_s: float = 0.47


class ScoreTerms(NamedTuple):
    """Parts of a score, all in money, and the estimates behind them.

    Attributes
    ----------
    wait, prefill, distance, eviction, price, affinity : float
        Cost of: delay before the first token, prompt tokens that have to be
        computed, way to the zone, work lost on eviction, the instance's time,
        and (negative) later tokens saved by keeping a prefix at its home.
    delay_s : float
        Expected delay before the first token, seconds.
    cached_tokens : float
        Expected prompt tokens in the endpoint's prefix cache.
    load : float
        Expected requests at the endpoint, running and waiting.
    """

    wait: float
    prefill: float
    distance: float
    eviction: float
    price: float
    affinity: float
    delay_s: float
    cached_tokens: float
    load: float

    @property
    def total(self) -> float:
        """The score: lower is better."""
        return self.spent + self.affinity

    @property
    def spent(self) -> float:
        """All costs, without what affinity saves later."""
        return self.wait + self.prefill + self.distance + self.eviction + self.price


class Scored(NamedTuple):
    """An endpoint with its score."""

    endpoint: EndpointView
    score: float
    terms: ScoreTerms


class Choice(NamedTuple):
    """The chosen endpoint, and the next best ones for `explain`."""

    endpoint: EndpointView
    score: float
    terms: ScoreTerms
    alternatives: tuple[Scored, ...] = ()
