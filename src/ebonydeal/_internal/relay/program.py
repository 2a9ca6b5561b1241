"""The supervisor tree of ``ebonydeal-relay``."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Any

from aiohttp import web
from mode import Service

from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.crashes.crash_check import CrashCheck
from ebonydeal._internal.relay.crashes.crash_store import CrashStore
from ebonydeal._internal.relay.crashes.suspects import SuspectParts, Suspects
from ebonydeal._internal.relay.duties.coordinator import (
    Coordinator,
    CoordinatorParts,
    CoordinatorSize,
)
from ebonydeal._internal.relay.duties.fleet import Fleet
from ebonydeal._internal.relay.duties.rollouts import RolloutParts, Rollouts
from ebonydeal._internal.relay.limits.link import LimitsLink, Place
from ebonydeal._internal.relay.limits.permits import EndpointPermits
from ebonydeal._internal.relay.listener import RawListener
from ebonydeal._internal.relay.peers.call_budget import CallBudget
from ebonydeal._internal.relay.peers.exchange import Exchange, ExchangeParts
from ebonydeal._internal.relay.peers.handler import PeerHandler
from ebonydeal._internal.relay.peers.long_reads import LongReads, LongReadTaker
from ebonydeal._internal.relay.peers.messages import (
    HOLDER,
    ROLLOUTS,
    ExchangeReply,
)
from ebonydeal._internal.relay.peers.rollouts import RolloutHearer
from ebonydeal._internal.relay.peers.word import RelayWord, WordParts
from ebonydeal._internal.relay.ports import RelayPorts
from ebonydeal._internal.relay.requests.connections import EndpointPools
from ebonydeal._internal.relay.requests.intake import Intake
from ebonydeal._internal.relay.requests.job import SendConfig, SendParts
from ebonydeal._internal.relay.requests.migrations import MigratorParts, StreamMigrator
from ebonydeal._internal.relay.requests.notices import NoticeReader
from ebonydeal._internal.relay.requests.quota import QuotaLimiter
from ebonydeal._internal.relay.requests.usage import UsageMeter
from ebonydeal._internal.relay.shares import (
    FIRST_RELAYS,
    first_retry,
    outlier_terms,
    retry_share,
    seed_addresses,
)
from ebonydeal._internal.relay.view.follower import ConfigTableFollower, MembersFollower
from ebonydeal._internal.relay.view.leaving import LeavingTimes
from ebonydeal._internal.relay.view.news import NewsFeed, NewsTaker
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.relay.view.view_sync import ViewSync
from ebonydeal._internal.routing.admission.early_refusal import EarlyRefusal
from ebonydeal._internal.routing.crashes.crash_evidence import (
    CrashEvidence,
    EvidenceTerms,
)
from ebonydeal._internal.routing.duties.duty_lease import DutyLease
from ebonydeal._internal.routing.duties.pace import Pace
from ebonydeal._internal.routing.duties.usage_ledger import UsageLedger
from ebonydeal._internal.routing.fleet.fleet_plan import FleetTerms
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.quota_broker import QuotaTerms
from ebonydeal._internal.routing.notices.notices import EndpointNotices
from ebonydeal._internal.routing.placement.failure_shares import FailureShares
from ebonydeal._internal.routing.placement.member_choice import (
    ChoiceTerms,
    MemberChoice,
)
from ebonydeal._internal.routing.placement.outliers import Outliers
from ebonydeal._internal.routing.retries.retries import RetryPolicy
from ebonydeal._internal.routing.rollout.course import Terms as RolloutTerms
from ebonydeal._internal.routing.rollout.exposure import Bound
from ebonydeal._internal.routing.rollout.split import Split
from ebonydeal._internal.settings.policy import PolicySettings
from ebonydeal._internal.settings.relay import RelaySettings
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.ids import new_token
from ebonydeal._internal.utils.peerclient import PeerClient

logger = get_logger("relay")

_SWEEP_S = 1.0
_DRAIN_STEP_S = 0.02
# Kept back of the grace time for closing sockets and ending the process.
_EXIT_RESERVE_S = 0.4


class RelayProgram(Service):
    """All tasks of one relay."""

    def __init__(
        self,
        settings: dict[str, Any],
        ports: RelayPorts,
        metrics: Metrics,
        clock: Clock,
        rng: Random,
        opened: Sequence[int] = (),
    ) -> None:
        super().__init__()
        self._cfg: RelaySettings = settings["relay"]
        self._policy: PolicySettings = settings["policy"]
        self._node = settings["node"]
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self.ports = ports
        self.view = RelayView(self._cfg.drain_ms / 1000.0)
        self._pools = EndpointPools(clock, self._cfg.connect_ms / 1000.0)
        self._choice = MemberChoice(
            self._cfg.reuse_window_s, ChoiceTerms.from_config(self._policy)
        )
        self.usage = UsageMeter(self._cfg.usage_window_s)
        self._retries = RetryPolicy(
            retry_share(self._cfg, FIRST_RELAYS),
            rng,
            lambda: first_retry(self._cfg, self._exchange.relay_count),
        )
        self._failing = FailureShares(self._policy.avoid_failing)
        outliers = Outliers(outlier_terms(settings["routing"], self._policy), rng)
        self._outliers = outliers
        self.view.on_restart = self._forget_endpoint
        self._notices = EndpointNotices()
        self._notices.on_leaving = self.view.leaves
        self.view.said_leaving = self._notices.leaving_since
        self._moves = StreamMigrator(
            MigratorParts(
                view=self.view,
                choice=self._choice,
                outliers=outliers,
                retries=self._retries,
                notices=self._notices,
                engines=ports.engines,
                metrics=metrics,
                clock=clock,
                zone=self._node.zone,
                drain_s=self._cfg.drain_ms / 1000.0,
                enabled=self._policy.moves,
            )
        )
        peers = settings["peers"]
        self._client = PeerClient(peers.credential)
        self._long_reads = LongReads(
            self._client, clock, rng, self._other_relays, self._policy.tell_long_s
        )
        self._crashes = CrashCheck(self.view, clock, self._cfg.connect_ms / 1000.0)
        self._suspects = Suspects(
            SuspectParts(
                CrashEvidence(EvidenceTerms.from_config(self._policy)),
                self._client,
                CallBudget(self._other_relays, clock, rng),
                metrics,
                clock,
                self._node.id,
            )
        )
        self._crashes.on_crash = self._suspects.crashed
        self._split = Split(self._node.id, Pace(self._policy.exchange_s).patience)
        self.view.on_orders = self._split.ordered
        self._rollout_hearer = RolloutHearer(self._split, self.view, clock)
        bounds = QuotaBounds(
            self._cfg.quota_window_s,
            self._cfg.quota_overshoot,
            self._cfg.quota_slack,
        )
        incarnation = new_token("i", rng)
        self.coordinator = self._build_coordinator(ports, bounds, incarnation)
        self.coordinator.granter.notices = self._notices
        self._limits = LimitsLink(
            self.coordinator.granter,
            self._client,
            clock,
            self._node.id,
            incarnation,
            metrics,
            Place(self._node.zone, self.coordinator.stands_back_s),
        )
        parts = SendParts(
            wire=ports.wire,
            view=self.view,
            choice=self._choice,
            outliers=outliers,
            failing=self._failing,
            refusal=EarlyRefusal(self._policy.refuse_limit),
            retries=self._retries,
            pools=self._pools,
            usage=self.usage,
            migrator=self._moves,
            long_reads=self._long_reads,
            crashes=self._crashes,
            suspects=self._suspects,
            split=self._split,
            notices=NoticeReader(self._notices, metrics, clock),
            permits=EndpointPermits(self._notices, self._limits, clock, metrics),
            metrics=metrics,
            clock=clock,
            rng=rng,
            zone=self._node.zone,
            config=SendConfig.from_config(self._policy),
        )
        self._quota = QuotaLimiter(self._limits, clock, bounds, metrics)
        self.intake = Intake(parts, self._quota, self._policy.quota_wait)
        self.clients = RawListener(self.intake.handle, self._cfg.address, opened)
        self._ready = RawListener(self._answer_ready, self._cfg.ready_address, opened)
        self._followers = (
            ConfigTableFollower(
                ports.store, ports.wire, self.view, clock, rng, metrics
            ),
            MembersFollower(ports.store, ports.wire, self.view, clock, rng, metrics),
        )
        taker = NewsTaker(self.view, clock)
        taker.on_behind = self._fall_behind
        self._word = RelayWord(
            WordParts(
                self._node.id,
                incarnation,
                self.usage,
                self._choice,
                self._quota,
                self._limits,
                self._failing,
                self._suspects,
                self._split,
                self._rollout_hearer,
                self._notices,
                taker,
                self.view,
                clock,
            ),
            self._cfg.peer_address,
        )
        handler = PeerHandler(
            peers.credential,
            self.coordinator,
            self.view,
            taker,
            LongReadTaker(self._choice, clock),
            self._suspects,
            self._split,
            metrics,
        )
        self.peers = RawListener(
            handler.handle, self._cfg.peer_address, decompresses=True
        )
        seeds = seed_addresses(peers.seeds)
        self._exchange = Exchange(
            ExchangeParts(
                self.coordinator,
                self._client,
                clock,
                rng,
                self._word.tell,
                self._heard,
                self._policy.exchange_s,
            ),
            seeds,
        )
        handler.serve(HOLDER, self._exchange.take_holder)
        handler.serve(ROLLOUTS, self._rollout_hearer.take)
        self._rollout_hearer.hasten = self._exchange.hasten
        self.coordinator.on_begin = self._announce
        self._limits.coordinator = self._exchange
        self._limits.address = lambda: self._word.address
        self.coordinator.is_stand_in = lambda: self._limits.is_stand_in
        self.coordinator.has_stand_in = lambda: self._limits.has_stand_in
        self.coordinator.relays_before = lambda: self._exchange.relays_before
        config, members = self._followers
        members.fed = lambda: self._exchange.fed
        self.view.is_told = lambda: self._exchange.fed
        config.fed = lambda: self._exchange.fed_config
        config.feeding = lambda: self.coordinator.feeds_config
        self.view.on_waiting = config.hasten
        self.coordinator.keep(CrashStore(ports.store, self._suspects, clock))
        self._rollouts = self._build_rollouts(ports)
        handler.rollouts = self._rollouts.report
        self.coordinator.compare_crashes = self._suspects.compare
        self.coordinator.hears_store = lambda: members.fresh
        self.coordinator.hears_config = lambda: config.fresh
        self._news = NewsFeed(
            self.view, self._client, clock, self.coordinator.listeners
        )
        self._sync = ViewSync(
            self._exchange,
            self._client,
            ports.wire,
            self.view,
            self._suspects,
            self._rollout_hearer,
            self._followers,
            clock,
            rng,
        )
        self._leaving = LeavingTimes(self.coordinator, ports.engines, self.view, clock)
        self._fleet = Fleet(
            self.coordinator,
            ports.duties,
            self.view,
            metrics,
            clock,
            FleetTerms.from_config(self._policy),
        )
        self._fleet.rolling = self._rollouts.rolling

    def _build_coordinator(
        self, ports: RelayPorts, bounds: QuotaBounds, incarnation: str
    ) -> Coordinator:
        """Return what this relay does for all while it holds the lease."""
        cfg = self._cfg
        return Coordinator(
            CoordinatorParts(
                ports.store, ports.duties, self.view, self._clock, self._rng
            ),
            DutyLease(
                self._node.id, incarnation, cfg.peer_address, cfg.lease_ms / 1000.0
            ),
            UsageLedger(cfg.usage_window_s, cfg.usage_late_s),
            bounds,
            cfg.checks_fence,
            QuotaTerms.from_config(self._policy),
            CoordinatorSize.from_config(cfg, self._policy),
        )

    def _build_rollouts(self, ports: RelayPorts) -> Rollouts:
        """Return what decides on roll-outs while this relay is the coordinator."""
        rollouts = Rollouts(
            RolloutParts(
                self.coordinator,
                self.view,
                ports.wire,
                ports.store,
                self._client,
                self._metrics,
                self._clock,
            ),
            RolloutTerms(bound=Bound(self._cfg.expose_share, self._cfg.expose_slack)),
        )
        rollouts.write_soon = self.coordinator.write_soon
        rollouts.on_gates = self._rollout_hearer.take
        self.coordinator.rollouts = rollouts.message
        self.coordinator.keep(rollouts.kept)
        return rollouts

    def on_init_dependencies(self) -> Iterable[Service]:
        """Return the children, in the order of their start."""
        return [
            *self._followers,
            self.peers,
            self.coordinator,
            self._exchange,
            self._limits,
            self._news,
            self._long_reads,
            self._suspects,
            self._crashes,
            self._sync,
            self._leaving,
            self._rollouts,
            self._rollout_hearer,
            self._fleet,
            self._moves,
            self._ready,
            self.clients,
        ]

    async def on_started(self) -> None:
        """Tell others the port that was picked, where the settings name none."""
        host = self._cfg.peer_address.rpartition(":")[0]
        address = f"{host}:{self.peers.port}"
        self._cfg = self._cfg._replace(peer_address=address)
        self._word.address = address
        self.coordinator.lease.reachable_at(address)
        self.coordinator.start_duties()
        self._exchange.reachable.set()

    def reload(self, settings: dict[str, Any]) -> None:
        """Take changed bounds and seeds; addresses stay until the next start."""
        old = self._cfg
        self._cfg = settings["relay"]._replace(
            address=old.address,
            ready_address=old.ready_address,
            peer_address=old.peer_address,
        )
        self._exchange.take_seeds(seed_addresses(settings["peers"].seeds))

    def _announce(self) -> None:
        """Tell all relays known that this one is the coordinator now."""
        self.add_future(self._exchange.announce())

    def _fall_behind(self) -> None:
        """Ask for a configuration that another relay has."""
        self._sync.behind_config = True

    def _other_relays(self) -> list[str]:
        """Return the addresses of the relays that a coordinator told of."""
        relays = self._exchange.relays
        return [address for address in relays if address != self._word.address]

    # --- talk with the coordinator -------------------------------------------
    def _heard(self, reply: ExchangeReply, asked_at: float) -> None:
        """Take the coordinator's answer to what was told at ``asked_at``."""
        if self._word.heard(reply, asked_at):
            self._sync.behind = True
        self._split.patience = self._exchange.patience
        self._retries.configure(retry_share(self._cfg, self._exchange.relay_count))
        mine = self.coordinator.lease.mine
        config = self._followers[0]
        for follower in self._followers:
            follower.alone = mine
        if mine:
            # A poll may have begun when no other relay depended on it.
            config.hasten()

    @property
    def ready(self) -> bool:
        """Whether new connections are welcome."""
        known = self.view.index is not None and self.view.members_known
        return known and not self._word.leaving

    async def _answer_ready(self, _req: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.ready else 503)

    def _forget_endpoint(self, endpoint_id: str) -> None:
        """Drop all that was learned of an endpoint before it started again."""
        self._choice.forget(endpoint_id)
        self._failing.forget(endpoint_id)
        self._outliers.forget(endpoint_id)
        self._pools.drop(endpoint_id)

    @Service.task
    async def _sweep(self) -> None:
        """Forget endpoints that are gone."""
        while not self.should_stop:
            await self._clock.sleep(_SWEEP_S)
            self._pools.retain_only(self.view.members)
            self._choice.keep_only(self.view.members)

    async def drain(self) -> None:
        """Let the balancer take us out, and finish what is in flight.

        The listener stays open: until the balancer has noticed, new
        connections still come, and each is served. Every answer ends its
        connection, so kept ones go away with their next use.
        """
        self._word.leaving = True
        begun = self._clock.now()
        last = begun + self._cfg.grace_s - _EXIT_RESERVE_S
        self.intake.drain(begun + self._cfg.settle_s, last)
        logger.info("Draining.", in_flight=self.intake.in_flight)
        await self.coordinator.release()
        await self._clock.sleep(self._cfg.settle_s)
        await self._finish_by(last)
        await self._exchange.flush()
        # Requests came while the last word was told.
        await self._finish_by(last)
        self.clients.close_gently()
        # One that was read at that moment is in flight after a turn of the loop.
        await self._clock.sleep(_DRAIN_STEP_S)
        await self._finish_by(last)
        logger.info(
            "Drained.",
            in_flight=self.intake.in_flight,
            took_s=round(self._clock.now() - begun, 3),
        )

    async def _finish_by(self, last: float) -> None:
        """Wait until nothing is in flight, at most until ``last``."""
        while self.intake.in_flight and self._clock.now() < last:
            await self._clock.sleep(_DRAIN_STEP_S)

    async def on_stop(self) -> None:
        """Drain while all children still work."""
        await self.drain()

    async def on_shutdown(self) -> None:
        """Close what children used until their end."""
        self._pools.close()
        await self._client.close()
        await self.ports.store.close()
        await self.ports.duties.close()
        await self.ports.engines.close()
