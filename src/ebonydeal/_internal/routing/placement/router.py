"""The choice of an endpoint for each request, and what is learned from answers."""

from collections.abc import Iterable
from random import Random

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.endpoints import EndpointState, EndpointView
from ebonydeal._internal.routing.placement.candidates import narrow, probes
from ebonydeal._internal.routing.placement.concurrency import ConcurrencyLimit
from ebonydeal._internal.routing.placement.endpoint_attempts import (
    Attempt,
    EndpointAttempts,
    LearnedRates,
)
from ebonydeal._internal.routing.placement.expected_load import (
    DeploymentLoad,
    expected_load,
    load_stddev,
    summarize_load,
)
from ebonydeal._internal.routing.placement.home import Branches, home_of
from ebonydeal._internal.routing.placement.outliers import OutlierDetector
from ebonydeal._internal.routing.placement.prefix_cache_view import PrefixCacheView
from ebonydeal._internal.routing.placement.score import (
    Estimate,
    delay_price,
    delay_s,
    score,
)
from ebonydeal._internal.routing.placement.types import Choice, RouteRequest, Scored
from ebonydeal._internal.settings.routing import RoutingSettings
from ebonydeal._internal.utils.prefix import BLOCK_TOKENS

_SHOWN_ALTERNATIVES = 3
_ASSUMED_SLOTS = 16.0
_LEAST_BLOCKS = 256
# A longer rest counts as this: one by mistake would take an endpoint out for good.
_MOST_REST_S = 3600.0


class Router:
    """Routing decisions and their state at one gateway.

    Parameters
    ----------
    cfg : RoutingSettings
        Weights and bounds.
    rng : random.Random
        For choices among near-equal endpoints.
    """

    def __init__(self, cfg: RoutingSettings, rng: Random) -> None:
        self._cfg = cfg
        self._rng = rng
        self._sent: dict[str, EndpointAttempts] = {}
        self._caches: dict[str, PrefixCacheView] = {}
        self._rates: dict[str, LearnedRates] = {}
        self._branches = Branches(cfg.cache_blocks)
        self._outliers = OutlierDetector(cfg, rng)
        self._limits: dict[str, ConcurrencyLimit] = {}
        self._incarnations: dict[str, int] = {}
        # Until when endpoints want nothing.
        self._rests: dict[str, float] = {}

    @classmethod
    def from_config(cls, cfg: RoutingSettings, rng: Random) -> "Router":
        """Build from settings."""
        return cls(cfg, rng)

    def choose(
        self, ask: RouteRequest, views: tuple[EndpointView, ...], now: float
    ) -> Choice | None:
        """Return the endpoint for ``ask``, or None where none can take it.

        Parameters
        ----------
        ask : RouteRequest
            The request.
        views : tuple of EndpointView
            The deployment's endpoints that are not leaving.
        now : float
            Wall clock seconds.
        """
        usable = self._usable(ask, views, now)
        if not usable:
            return None
        split = self._branches.split(ask.blocks)
        home, saved = _home(ask, usable, split)
        own = probes(ask.blocks, split)
        near = narrow(
            usable,
            self._cfg.candidates,
            home,
            lambda name: self._cache(name).holds_any(own),
            self._rng,
        )
        pairs = ((view, self._sent_to(view.endpoint_id)) for view in near)
        deployment_load = summarize_load(pairs, self._rates_of(ask.deployment))
        estimates = [self._estimate(ask, view, deployment_load, now) for view in near]
        least = min(delay_s(ask, expected) for expected in estimates)
        price = delay_price(near, ask.first_token_s, least, self._cfg.late_factor)
        scored = []
        for view, expected in zip(near, estimates, strict=True):
            if view.endpoint_id == home:
                worth = saved * self._cfg.affinity
                expected = expected._replace(home_tokens=worth)
            scored.append(score(ask, view, expected, price))
        scored.sort(key=lambda item: item.score)
        best = self._pick(scored)
        rest = tuple(item for item in scored[: _SHOWN_ALTERNATIVES + 1] if item != best)
        return Choice(*best, rest[:_SHOWN_ALTERNATIVES])

    def record_sent(self, choice: Choice, ask: RouteRequest, now: float) -> None:
        """Note that ``ask`` is being sent to the chosen endpoint."""
        endpoint = choice.endpoint.endpoint_id
        missed = max(0.0, ask.prompt_tokens - choice.terms.cached_tokens)
        attempt = Attempt(
            request_id=ask.request_id,
            deployment=ask.deployment,
            blocks=ask.blocks,
            sent_at=now,
            missed_tokens=missed,
            cached_tokens=choice.terms.cached_tokens,
            target_s=ask.first_token_s,
        )
        self._sent_to(endpoint).attempts[ask.request_id] = attempt
        self._cache(endpoint).sent(ask.blocks, now)
        self._branches.learn(ask.blocks)

    def record_first_token(
        self,
        request_id: str,
        endpoint_id: str,
        cached_tokens: int,
        prefilled_tokens: int,
        now: float,
    ) -> None:
        """Note the first token, and what the engine says of its cache."""
        attempt = self._sent_to(endpoint_id).attempts.get(request_id)
        if attempt is None or attempt.first_token_at is not None:
            return
        attempt.first_token_at = now
        rates = self._rates_of(attempt.deployment)
        delay = now - attempt.sent_at
        rates.prefilled(prefilled_tokens, delay)
        queued = delay - prefilled_tokens / rates.prefill
        sent = self._sent_to(endpoint_id)
        sent.queued(queued, now, self._cfg.report_half_life)
        in_flight = len(sent.attempts)
        self._limit(endpoint_id).started(queued, attempt.target_s, in_flight, now)
        self._cache(endpoint_id).answered(
            attempt.blocks, attempt.cached_tokens, cached_tokens, now
        )

    def record_finished(self, request_id: str, endpoint_id: str, now: float) -> None:
        """Note the whole answer."""
        attempt = self._sent_to(endpoint_id).end(request_id)
        if attempt is None:
            return
        self._outliers.record_success(endpoint_id, now)
        started = attempt.first_token_at or attempt.sent_at
        self._rates_of(attempt.deployment).served(now - started)

    def record_failure(
        self, request_id: str, endpoint_id: str, kind: ErrorKind, now: float
    ) -> None:
        """Note that a try failed, or that its caller left."""
        if self._sent_to(endpoint_id).end(request_id) is None:
            return
        self._outliers.record_failure(endpoint_id, kind, now)
        if kind is ErrorKind.ENDPOINT_REFUSED:
            self._limit(endpoint_id).refused(now)

    def back_off(self, endpoint_id: str, seconds: float, now: float) -> None:
        """Note for how long an endpoint wants nothing; the latest end holds."""
        until = now + min(seconds, _MOST_REST_S)
        self._rests = {name: at for name, at in self._rests.items() if at > now}
        self._rests[endpoint_id] = max(until, self._rests.get(endpoint_id, until))

    def capacity(self, views: Iterable[EndpointView]) -> int:
        """Return how many requests this gateway may have in flight at ``views``.

        For `Admission.set_capacity`; at least 1 for each endpoint.
        """
        return sum(int(self._limit(view.endpoint_id).limit) for view in views)

    def apply_cache_events(
        self, endpoint_id: str, events: Iterable[tuple[int, bool, str]], now: float
    ) -> None:
        """Take many cache events (seq, stored, block) of one engine."""
        self._cache(endpoint_id).events(events, now)

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint that is gone or started anew."""
        self._caches.pop(endpoint_id, None)
        self._sent.pop(endpoint_id, None)
        self._limits.pop(endpoint_id, None)
        self._incarnations.pop(endpoint_id, None)
        self._rests.pop(endpoint_id, None)
        self._outliers.forget(endpoint_id)

    def retain_only(self, endpoint_ids: Iterable[str]) -> None:
        """Forget all endpoints but these; call when the watched set changes."""
        for name in self._incarnations.keys() - set(endpoint_ids):
            self.forget(name)

    # --- parts -------------------------------------------------------------------
    def _sent_to(self, endpoint_id: str) -> EndpointAttempts:
        if endpoint_id not in self._sent:
            self._sent[endpoint_id] = EndpointAttempts()
        return self._sent[endpoint_id]

    def _limit(self, endpoint_id: str) -> ConcurrencyLimit:
        if endpoint_id not in self._limits:
            cfg = self._cfg
            self._limits[endpoint_id] = ConcurrencyLimit(cfg.limit_start, cfg.limit_max)
        return self._limits[endpoint_id]

    def _usable(
        self, ask: RouteRequest, views: tuple[EndpointView, ...], now: float
    ) -> tuple[EndpointView, ...]:
        """Return the endpoints to score: not ejected, below their limit if any."""
        able = tuple(view for view in views if _is_usable(ask, view))
        for view in able:
            self._notice_incarnation(view)
        able = tuple(v for v in able if self._rests.get(v.endpoint_id, now) <= now)
        allowed = self._outliers.allowed(able, now)
        below = tuple(view for view in allowed if self._is_below_limit(view))
        # Admission holds the sum of limits; a single one only steers.
        return below or allowed

    def _is_below_limit(self, view: EndpointView) -> bool:
        name = view.endpoint_id
        return len(self._sent_to(name).attempts) < self._limit(name).limit

    def _notice_incarnation(self, view: EndpointView) -> None:
        """Forget what was known of an earlier incarnation."""
        known = self._incarnations.get(view.endpoint_id)
        if known == view.incarnation:
            return
        if known is not None:
            self.forget(view.endpoint_id)
        self._incarnations[view.endpoint_id] = view.incarnation

    def _cache(self, endpoint_id: str) -> PrefixCacheView:
        if endpoint_id not in self._caches:
            cfg = self._cfg
            share = cfg.cache_total // (len(self._caches) + 1)
            most = max(_LEAST_BLOCKS, min(cfg.cache_blocks, share))
            for cache in self._caches.values():
                cache.bound(most)
            self._caches[endpoint_id] = PrefixCacheView(most, cfg.cache_half_life)
        return self._caches[endpoint_id]

    def _rates_of(self, deployment: str) -> LearnedRates:
        if deployment not in self._rates:
            cfg = self._cfg
            self._rates[deployment] = LearnedRates(cfg.prefill_rate, cfg.service_time)
        return self._rates[deployment]

    def _estimate(
        self,
        ask: RouteRequest,
        view: EndpointView,
        deployment_load: DeploymentLoad,
        now: float,
    ) -> Estimate:
        """Put together what is expected of one endpoint."""
        sent = self._sent_to(view.endpoint_id)
        rates = self._rates_of(ask.deployment)
        cached = self._cache(view.endpoint_id).cached_tokens(ask.blocks, now)
        half_life = self._cfg.report_half_life
        queue_s = sent.queue_now(now, half_life)
        slots = float(view.load.slots) if view.load else _ASSUMED_SLOTS
        load = expected_load(view, sent, deployment_load, half_life, now)
        return Estimate(
            load=load,
            slots=slots,
            prefill_queue=sent.prefilling() + queue_s * rates.prefill,
            cached_tokens=min(cached, float(ask.prompt_tokens)),
            prefill_rate=rates.prefill,
            service_s=rates.service_s,
            load_stddev=load_stddev(view, load, deployment_load, rates.service_s, now),
        )

    def _pick(self, scored: list[Scored]) -> Scored:
        """Return one of the near-equal best."""
        bound = scored[0].score + scored[0].terms.spent * self._cfg.near_equal
        near = [item for item in scored if item.score <= bound]
        return self._rng.choice(near)


def _home(
    ask: RouteRequest, views: tuple[EndpointView, ...], split: int
) -> tuple[str, float]:
    """Return the prompt's home, and how many tokens are its own."""
    if not ask.blocks or (split < 0 and not ask.session):
        return "", 0.0
    key = ask.session or ask.blocks[split]
    own = ask.prompt_tokens - max(0, split) * BLOCK_TOKENS
    return home_of(key, (view.endpoint_id for view in views)), float(own)


def _is_usable(ask: RouteRequest, view: EndpointView) -> bool:
    """Return whether an endpoint can take the request at all."""
    if view.state is not EndpointState.READY or view.endpoint_id in ask.exclude:
        return False
    return not ask.model or ask.model in view.models
