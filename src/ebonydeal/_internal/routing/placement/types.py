"""Input and output values of the routing decisions.

Times are wall clock seconds. Money is in the configuration document's currency.
"""

from typing import NamedTuple

from ebonydeal._internal.models.document import Weights
from ebonydeal._internal.models.endpoints import EndpointView
from ebonydeal._internal.models.places import Place

NEUTRAL_WEIGHTS = Weights(cost=1.0, recompute=1.0)


class RouteRequest(NamedTuple):
    """The properties of a request that routing needs.

    Attributes
    ----------
    request_id : str
        Identifies the request in `Router.record_sent` and the later calls.
    deployment : str
        Deployment or plain service name.
    model : str
        Model or adapter; empty for a plain service.
    blocks : tuple of str
        Chained hashes of the prompt (see `utils.prefix`); empty if unknown.
    prompt_tokens, max_tokens : int
        Estimated prompt tokens, and the maximum of output tokens.
    place : Place
        Where this gateway runs.
    session : str
        The caller's session; empty if unknown.
    exclude : frozenset of str
        Ids of endpoints that the request was already sent to.
    weights : Weights
        The deployment's weights of costs.
    first_token_s : float
        Latency target for the first token, seconds.
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
    """The terms of a score, in money, and the estimates they are computed from.

    Attributes
    ----------
    wait, prefill, distance, eviction, price, affinity : float
        Costs of the delay before the first token, of the prompt tokens to prefill,
        of the distance to the zone, of work lost on eviction and of the instance's
        time; and (negative) the later tokens saved by keeping a prefix at its home.
    delay_s : float
        Expected delay before the first token, seconds.
    cached_tokens : float
        Prompt tokens expected in the endpoint's prefix cache.
    load : float
        Requests expected at the endpoint, running and waiting.
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
        return self.cost + self.affinity

    @property
    def cost(self) -> float:
        """The sum of all costs, without the later saving from affinity."""
        return self.wait + self.prefill + self.distance + self.eviction + self.price


class Scored(NamedTuple):
    """An endpoint with its score."""

    endpoint: EndpointView
    score: float
    terms: ScoreTerms


class Choice(NamedTuple):
    """The chosen endpoint, and the next best ones for the ``explain`` command."""

    endpoint: EndpointView
    score: float
    terms: ScoreTerms
    alternatives: tuple[Scored, ...] = ()
