"""Chooses an endpoint for each request, and learns from the answers."""

from collections.abc import Iterable
from random import Random

from ebonydeal._internal.errors import ErrorKind
from ebonydeal._internal.models.endpoints import EndpointState, EndpointView
from ebonydeal._internal.routing.placement.candidates import (
    probe_blocks,
    select_candidates,
)
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
from ebonydeal._internal.routing.placement.home import SharedPrefixes, home_endpoint
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

_MAX_ALTERNATIVES = 3
_DEFAULT_SLOTS = 16.0
_MIN_CACHE_BLOCKS = 256
# Longer backoffs are cut to this, as one sent by mistake would exclude the endpoint
# for good.
_MAX_BACKOFF_S = 3600.0


class Router:
    """Routing decisions and their state at one gateway.

    Parameters
    ----------
    cfg : RoutingSettings
        Weights and bounds.
    rng : random.Random
        Chooses among endpoints of nearly equal score.
    """

    def __init__(self, cfg: RoutingSettings, rng: Random) -> None:
        self._cfg = cfg
        self._rng = rng
        self._attempts: dict[str, EndpointAttempts] = {}
        self._caches: dict[str, PrefixCacheView] = {}
        self._rates: dict[str, LearnedRates] = {}
        self._shared_prefixes = SharedPrefixes(cfg.cache_blocks)
        self._outliers = OutlierDetector(cfg, rng)
        self._limits: dict[str, ConcurrencyLimit] = {}
        self._incarnations: dict[str, int] = {}
        # Time until which an endpoint has asked for no requests.
        self._backoff_until: dict[str, float] = {}

    @classmethod
    def from_config(cls, cfg: RoutingSettings, rng: Random) -> "Router":
        """Build from settings."""
        return cls(cfg, rng)

    def choose(
        self, request: RouteRequest, views: tuple[EndpointView, ...], now: float
    ) -> Choice | None:
        """Return the endpoint for ``request``, or None if none can take it.

        Parameters
        ----------
        request : RouteRequest
            The request.
        views : tuple of EndpointView
            The deployment's endpoints that are not leaving.
        now : float
            Wall clock seconds.
        """
        usable = self._usable(request, views, now)
        if not usable:
            return None
        split = self._shared_prefixes.split(request.blocks)
        home, saved_tokens = _home(request, usable, split)
        probes = probe_blocks(request.blocks, split)
        candidates = select_candidates(
            usable,
            self._cfg.candidates,
            home,
            lambda name: self._cache(name).holds_any(probes),
            self._rng,
        )
        pairs = ((view, self._attempts_at(view.endpoint_id)) for view in candidates)
        deployment_load = summarize_load(pairs, self._rates_of(request.deployment))
        estimates = [
            self._estimate(request, view, deployment_load, now) for view in candidates
        ]
        min_delay = min(delay_s(request, expected) for expected in estimates)
        price = delay_price(
            candidates, request.first_token_s, min_delay, self._cfg.late_factor
        )
        scored = []
        for view, expected in zip(candidates, estimates, strict=True):
            if view.endpoint_id == home:
                home_tokens = saved_tokens * self._cfg.affinity
                expected = expected._replace(home_tokens=home_tokens)
            scored.append(score(request, view, expected, price))
        scored.sort(key=lambda item: item.score)
        best = self._pick(scored)
        others = tuple(item for item in scored[: _MAX_ALTERNATIVES + 1] if item != best)
        return Choice(*best, others[:_MAX_ALTERNATIVES])

    def record_sent(self, choice: Choice, request: RouteRequest, now: float) -> None:
        """Record that ``request`` is being sent to the chosen endpoint."""
        endpoint = choice.endpoint.endpoint_id
        uncached_tokens = max(0.0, request.prompt_tokens - choice.terms.cached_tokens)
        attempt = Attempt(
            request_id=request.request_id,
            deployment=request.deployment,
            blocks=request.blocks,
            sent_at=now,
            uncached_tokens=uncached_tokens,
            cached_tokens=choice.terms.cached_tokens,
            target_s=request.first_token_s,
        )
        self._attempts_at(endpoint).attempts[request.request_id] = attempt
        self._cache(endpoint).record_sent(request.blocks, now)
        self._shared_prefixes.learn(request.blocks)

    def record_first_token(
        self,
        request_id: str,
        endpoint_id: str,
        cached_tokens: int,
        prefilled_tokens: int,
        now: float,
    ) -> None:
        """Record the first token, and the cached tokens that the engine reports."""
        attempt = self._attempts_at(endpoint_id).attempts.get(request_id)
        if attempt is None or attempt.first_token_at is not None:
            return
        attempt.first_token_at = now
        rates = self._rates_of(attempt.deployment)
        delay = now - attempt.sent_at
        rates.record_prefill(prefilled_tokens, delay)
        queued_s = delay - prefilled_tokens / rates.prefill
        sent = self._attempts_at(endpoint_id)
        sent.record_queue_time(queued_s, now, self._cfg.report_half_life)
        in_flight = len(sent.attempts)
        self._limit(endpoint_id).record_first_token(
            queued_s, attempt.target_s, in_flight, now
        )
        self._cache(endpoint_id).record_answer(
            attempt.blocks, attempt.cached_tokens, cached_tokens, now
        )

    def record_finished(self, request_id: str, endpoint_id: str, now: float) -> None:
        """Record that an answer is complete."""
        attempt = self._attempts_at(endpoint_id).end(request_id)
        if attempt is None:
            return
        self._outliers.record_success(endpoint_id, now)
        started = attempt.first_token_at or attempt.sent_at
        self._rates_of(attempt.deployment).record_service_time(now - started)

    def record_failure(
        self, request_id: str, endpoint_id: str, kind: ErrorKind, now: float
    ) -> None:
        """Record that an attempt failed, or that its caller left."""
        if self._attempts_at(endpoint_id).end(request_id) is None:
            return
        self._outliers.record_failure(endpoint_id, kind, now)
        if kind is ErrorKind.ENDPOINT_REFUSED:
            self._limit(endpoint_id).record_refusal(now)

    def back_off(self, endpoint_id: str, seconds: float, now: float) -> None:
        """Send an endpoint no requests for some time; the latest end applies."""
        until = now + min(seconds, _MAX_BACKOFF_S)
        self._backoff_until = {
            name: at for name, at in self._backoff_until.items() if at > now
        }
        self._backoff_until[endpoint_id] = max(
            until, self._backoff_until.get(endpoint_id, until)
        )

    def capacity(self, views: Iterable[EndpointView]) -> int:
        """Return the maximum of this gateway's requests in flight at ``views``.

        The value for `Admission.set_capacity`; at least 1 for each endpoint.
        """
        return sum(int(self._limit(view.endpoint_id).limit) for view in views)

    def apply_cache_events(
        self, endpoint_id: str, events: Iterable[tuple[int, bool, str]], now: float
    ) -> None:
        """Apply cache events (seq, stored, block) of one engine."""
        self._cache(endpoint_id).apply_events(events, now)

    def forget(self, endpoint_id: str) -> None:
        """Drop the state of an endpoint that was removed or has restarted."""
        self._caches.pop(endpoint_id, None)
        self._attempts.pop(endpoint_id, None)
        self._limits.pop(endpoint_id, None)
        self._incarnations.pop(endpoint_id, None)
        self._backoff_until.pop(endpoint_id, None)
        self._outliers.forget(endpoint_id)

    def retain_only(self, endpoint_ids: Iterable[str]) -> None:
        """Forget all endpoints but these; to be called when the watched set changes."""
        for name in self._incarnations.keys() - set(endpoint_ids):
            self.forget(name)

    # --- state by endpoint and deployment ----------------------------------------
    def _attempts_at(self, endpoint_id: str) -> EndpointAttempts:
        if endpoint_id not in self._attempts:
            self._attempts[endpoint_id] = EndpointAttempts()
        return self._attempts[endpoint_id]

    def _limit(self, endpoint_id: str) -> ConcurrencyLimit:
        if endpoint_id not in self._limits:
            cfg = self._cfg
            self._limits[endpoint_id] = ConcurrencyLimit(cfg.limit_start, cfg.limit_max)
        return self._limits[endpoint_id]

    def _usable(
        self, request: RouteRequest, views: tuple[EndpointView, ...], now: float
    ) -> tuple[EndpointView, ...]:
        """Return the endpoints to score: not ejected, below their limit if any is."""
        usable = tuple(view for view in views if _is_usable(request, view))
        for view in usable:
            self._check_incarnation(view)
        usable = tuple(
            v for v in usable if self._backoff_until.get(v.endpoint_id, now) <= now
        )
        allowed = self._outliers.allowed(usable, now)
        below = tuple(view for view in allowed if self._is_below_limit(view))
        # Admission enforces the sum of all limits; a single limit is only a preference.
        return below or allowed

    def _is_below_limit(self, view: EndpointView) -> bool:
        name = view.endpoint_id
        return len(self._attempts_at(name).attempts) < self._limit(name).limit

    def _check_incarnation(self, view: EndpointView) -> None:
        """Drop the state of an earlier incarnation of the endpoint."""
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
            max_blocks = max(_MIN_CACHE_BLOCKS, min(cfg.cache_blocks, share))
            for cache in self._caches.values():
                cache.set_max_blocks(max_blocks)
            self._caches[endpoint_id] = PrefixCacheView(max_blocks, cfg.cache_half_life)
        return self._caches[endpoint_id]

    def _rates_of(self, deployment: str) -> LearnedRates:
        if deployment not in self._rates:
            cfg = self._cfg
            self._rates[deployment] = LearnedRates(cfg.prefill_rate, cfg.service_time)
        return self._rates[deployment]

    def _estimate(
        self,
        request: RouteRequest,
        view: EndpointView,
        deployment_load: DeploymentLoad,
        now: float,
    ) -> Estimate:
        """Return the estimates for one endpoint."""
        sent = self._attempts_at(view.endpoint_id)
        rates = self._rates_of(request.deployment)
        cached = self._cache(view.endpoint_id).cached_tokens(request.blocks, now)
        half_life = self._cfg.report_half_life
        queue_s = sent.current_queue_time(now, half_life)
        slots = float(view.load.slots) if view.load else _DEFAULT_SLOTS
        load = expected_load(view, sent, deployment_load, half_life, now)
        return Estimate(
            load=load,
            slots=slots,
            prefill_queue=sent.pending_prefill_tokens() + queue_s * rates.prefill,
            cached_tokens=min(cached, float(request.prompt_tokens)),
            prefill_rate=rates.prefill,
            service_s=rates.service_s,
            load_stddev=load_stddev(view, load, deployment_load, rates.service_s, now),
        )

    def _pick(self, scored: list[Scored]) -> Scored:
        """Return one of the endpoints with nearly the best score."""
        bound = scored[0].score + scored[0].terms.cost * self._cfg.near_equal
        near_best = [item for item in scored if item.score <= bound]
        return self._rng.choice(near_best)


def _home(
    request: RouteRequest, views: tuple[EndpointView, ...], split: int
) -> tuple[str, float]:
    """Return the prompt's home, and how many of its tokens aren't shared."""
    if not request.blocks or (split < 0 and not request.session):
        return "", 0.0
    key = request.session or request.blocks[split]
    own_tokens = request.prompt_tokens - max(0, split) * BLOCK_TOKENS
    return home_endpoint(key, (view.endpoint_id for view in views)), float(own_tokens)


def _is_usable(request: RouteRequest, view: EndpointView) -> bool:
    """Return whether an endpoint can serve the request at all."""
    if view.state is not EndpointState.READY or view.endpoint_id in request.exclude:
        return False
    return not request.model or request.model in view.models
