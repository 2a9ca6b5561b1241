"""The supervisor tree of ``ebonydeal-relay``."""

import asyncio
from collections.abc import Coroutine, Iterable, Sequence
from random import Random
from typing import Any

from aiohttp import web
from mode import Service

from ebonydeal._internal.models.forwarding import DEFAULT_CLIENT_LIMITS
from ebonydeal._internal.models.shared import era_of
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.capacity.plain_exchange import PlainCapacityExchange
from ebonydeal._internal.relay.capacity.speed_exchange import (
    SpeedMerger,
    SpeedReporter,
)
from ebonydeal._internal.relay.crashes.crash_detector import CrashDetector
from ebonydeal._internal.relay.crashes.crash_store import CrashStore
from ebonydeal._internal.relay.crashes.suspects import SuspectParts, Suspects
from ebonydeal._internal.relay.derived_settings import (
    INITIAL_RELAY_COUNT,
    outlier_settings,
    retry_share,
    seed_addresses,
    start_retry_limit,
)
from ebonydeal._internal.relay.duties.coordinator import (
    Coordinator,
    CoordinatorCapacity,
    CoordinatorParts,
)
from ebonydeal._internal.relay.duties.fleet import FleetScaler
from ebonydeal._internal.relay.duties.rollouts import RolloutParts, Rollouts
from ebonydeal._internal.relay.limits.client import LimitsClient, RelayPlacement
from ebonydeal._internal.relay.limits.permits import EndpointPermits
from ebonydeal._internal.relay.limits.request_work import RequestWork
from ebonydeal._internal.relay.limits.share_divider import ShareDivider
from ebonydeal._internal.relay.limits.share_gate import ShareGate
from ebonydeal._internal.relay.links.crash_confirmation import (
    CONFIRM,
    CrashConfirmation,
)
from ebonydeal._internal.relay.links.forward_handler import (
    ForwardHandler,
    ForwardParts,
)
from ebonydeal._internal.relay.links.forwarder import RequestForwarder
from ebonydeal._internal.relay.links.monitor import LinkMonitor
from ebonydeal._internal.relay.listener import RawListener
from ebonydeal._internal.relay.peers.call_budget import CallBudget
from ebonydeal._internal.relay.peers.exchange import Exchange, ExchangeParts
from ebonydeal._internal.relay.peers.handler import PeerHandler
from ebonydeal._internal.relay.peers.long_prompts import (
    LongPromptNotifier,
    LongPromptReceiver,
)
from ebonydeal._internal.relay.peers.messages import (
    HOLDER,
    ROLLOUTS,
    ExchangeReply,
)
from ebonydeal._internal.relay.peers.relay_reporter import RelayReporter, ReporterParts
from ebonydeal._internal.relay.peers.rollouts import RolloutReceiver
from ebonydeal._internal.relay.peers.stream_versions import (
    STREAM_STARTS,
    STREAM_VERSION,
    SharingParts,
    StreamVersions,
)
from ebonydeal._internal.relay.peers.version_store import VersionStore
from ebonydeal._internal.relay.ports import RelayPorts
from ebonydeal._internal.relay.requests.answer_end import AnswerEndChecker
from ebonydeal._internal.relay.requests.answer_memory import AnswerMemory
from ebonydeal._internal.relay.requests.connections import (
    ConnectionParts,
    EndpointPools,
)
from ebonydeal._internal.relay.requests.endpoint_paths import EndpointPaths
from ebonydeal._internal.relay.requests.intake import Intake
from ebonydeal._internal.relay.requests.job import SendConfig, SendParts
from ebonydeal._internal.relay.requests.migrations import MigratorParts, StreamMigrator
from ebonydeal._internal.relay.requests.notices import NoticeReader
from ebonydeal._internal.relay.requests.planned_stop import PlannedStop
from ebonydeal._internal.relay.requests.quota import QuotaLimiter
from ebonydeal._internal.relay.requests.usage import UsageMeter
from ebonydeal._internal.relay.view.config_follower import ConfigTableFollower
from ebonydeal._internal.relay.view.deltas import DeltaPublisher, DeltaReceiver
from ebonydeal._internal.relay.view.follower import (
    COORDINATOR_POLL_TIMEOUT_S,
    FRESH_TIMEOUT_S,
)
from ebonydeal._internal.relay.view.leaving import LeavingTimes
from ebonydeal._internal.relay.view.members_follower import MembersFollower
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.relay.view.view_sync import ViewSync
from ebonydeal._internal.routing.admission.early_refusal import EarlyRefusal
from ebonydeal._internal.routing.admission.others_share import OthersShare
from ebonydeal._internal.routing.admission.plain_queues import PlainQueues
from ebonydeal._internal.routing.admission.return_order import (
    ReturnOrder,
    TicketSigner,
)
from ebonydeal._internal.routing.admission.stop_window import StopWindow
from ebonydeal._internal.routing.crashes.crash_evidence import CrashEvidence
from ebonydeal._internal.routing.crashes.quarantine import QuarantineConfig
from ebonydeal._internal.routing.duties.coordinator_lease import CoordinatorLease
from ebonydeal._internal.routing.duties.report_pacing import ReportPacing
from ebonydeal._internal.routing.duties.usage_ledger import UsageLedger
from ebonydeal._internal.routing.fleet.fleet_plan import FleetConfig
from ebonydeal._internal.routing.limits.quota_bounds import QuotaBounds
from ebonydeal._internal.routing.limits.quota_broker import QuotaConfig
from ebonydeal._internal.routing.notices.endpoint_notices import EndpointNotices
from ebonydeal._internal.routing.placement.endpoint_selector import (
    EndpointSelector,
    SelectionConfig,
)
from ebonydeal._internal.routing.placement.failure_rates import FailureRates
from ebonydeal._internal.routing.placement.outliers import OutlierDetector
from ebonydeal._internal.routing.retries.retries import RetryPolicy
from ebonydeal._internal.routing.rollout.exposure import ExposureBound
from ebonydeal._internal.routing.rollout.rollout_state import RolloutConfig
from ebonydeal._internal.routing.rollout.traffic_split import TrafficSplit
from ebonydeal._internal.settings.policy import PolicySettings
from ebonydeal._internal.settings.relay import RelaySettings
from ebonydeal._internal.utils.clients.budget import ClientBudget
from ebonydeal._internal.utils.clients.connection import ClientBounds, RequestLimits
from ebonydeal._internal.utils.clients.machine import client_budget_config
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.ids import new_token
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay")

_SWEEP_INTERVAL_S = 1.0
_DRAIN_CHECK_INTERVAL_S = 0.02
# Part of the grace time that is left for closing sockets and ending the process.
_EXIT_RESERVE_S = 0.4
# Parts of it for the last report and the last answers.
_LAST_REPORT_S = 0.2
_LAST_ANSWERS_S = 0.1
# Besides its fields, whose size the operators limit, a head has a request line.
_REQUEST_LINE_BYTES = 8192
# Clients may reuse connections nearly until their idle timeout. A connection that is
# closed later than that is closed by its client, and no request arrives meanwhile.
_IDLE_TIMEOUT_FACTOR = 1.5


class RelayProgram(SupervisedService):
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
        self._pools = EndpointPools(
            ConnectionParts(ports.wire, metrics, clock), self._cfg.connect_ms / 1000.0
        )
        self._selector = EndpointSelector(
            self._cfg.reuse_window_s, SelectionConfig.from_config(self._policy)
        )
        self._plain_capacity = PlainCapacityExchange(
            self._policy.learn_capacity, self.view, metrics, clock
        )
        self.usage = UsageMeter(self._cfg.usage_window_s)
        self._retries = RetryPolicy(
            retry_share(self._cfg, INITIAL_RELAY_COUNT),
            rng,
            initial_retries=0.0,
        )
        self._failure_rates = FailureRates(self._policy.avoid_failing)
        outliers = OutlierDetector(
            outlier_settings(settings["routing"], self._policy), rng
        )
        self._outliers = outliers
        self.view.on_restart = self._forget_endpoint
        self._notices = EndpointNotices()
        self._notices.on_leaving = self.view.process_leaving
        self.view.own_leaving_since = self._notices.leaving_since
        self._migrator = StreamMigrator(
            MigratorParts(
                view=self.view,
                selector=self._selector,
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
        self._long_prompts = LongPromptNotifier(
            self._client, clock, rng, self._other_relays, self._policy.tell_long_s
        )
        self._links = LinkMonitor(
            self.view, clock, rng, metrics, self._cfg.connect_ms / 1000.0
        )
        self._links.on_lost = self._forget_failures
        self._forwarder = RequestForwarder(
            settings["peers"].credential,
            self._other_relays,
            lambda service: self._exchange.links_down(service),
            clock,
            rng,
            metrics,
        )
        self._paths = EndpointPaths(self._pools, self._links, self._forwarder, clock)
        self._crashes = CrashDetector(self.view, clock, self._cfg.connect_ms / 1000.0)
        self._suspects = Suspects(
            SuspectParts(
                CrashEvidence(QuarantineConfig.from_config(self._policy)),
                self._client,
                CallBudget(self._other_relays, clock, rng),
                metrics,
                clock,
                self._node.id,
            )
        )
        self._crashes.on_crash = self._suspects.record_crash
        self._confirmation = CrashConfirmation(
            self.view,
            self._client,
            self._other_relays,
            rng,
            self._cfg.connect_ms / 1000.0,
        )
        self._crashes.confirm = self._confirmation.is_crash
        self._stream_versions = StreamVersions(
            SharingParts(
                self.view,
                self._client,
                self._other_relays,
                lambda: self._exchange.count_known,
                metrics,
                clock,
                lambda: self._followers[1],
                self._node.id,
            )
        )
        self._split = TrafficSplit(
            self._node.id, ReportPacing(self._policy.exchange_s).isolation_timeout
        )
        self.view.on_orders = self._split.set_orders
        self._rollout_receiver = RolloutReceiver(self._split, self.view, clock)
        bounds = QuotaBounds(
            self._cfg.quota_window_s,
            self._cfg.quota_overshoot,
            self._cfg.quota_slack,
        )
        incarnation = new_token("i", rng)
        self.coordinator = self._build_coordinator(ports, bounds, incarnation)
        self.coordinator.granter.notices = self._notices
        self.coordinator.plain_capacity = self._plain_capacity
        if self._policy.learn_speeds:
            self.coordinator.engine_speeds = SpeedMerger(self.view, clock)
        self._limits = LimitsClient(
            self.coordinator.granter,
            self._client,
            clock,
            self._node.id,
            incarnation,
            metrics,
            RelayPlacement(self._node.zone, self.coordinator.takeover_delay_s),
        )
        notice_reader = NoticeReader(self._notices, metrics, clock)
        notice_reader.relay_count = lambda: self._exchange.relay_count
        answer_ends = AnswerEndChecker(self.view, metrics, ports.engines)
        self._shares = self._build_shares(peers.credential)
        self._planned_stop = PlannedStop(clock)
        parts = SendParts(
            wire=ports.wire,
            view=self.view,
            selector=self._selector,
            outliers=outliers,
            failure_rates=self._failure_rates,
            refusal=EarlyRefusal(self._policy.refuse_limit),
            retries=self._retries,
            pools=self._pools,
            paths=self._paths,
            links=self._links,
            usage=self.usage,
            migrator=self._migrator,
            long_prompts=self._long_prompts,
            crashes=self._crashes,
            answer_ends=answer_ends,
            answer_memory=AnswerMemory.from_config(self._cfg),
            suspects=self._suspects,
            split=self._split,
            stream_versions=self._stream_versions,
            notices=notice_reader,
            permits=EndpointPermits(
                self._notices,
                self._limits,
                clock,
                metrics,
                self._selector.running_requests,
            ),
            plain_queues=PlainQueues(),
            others_share=OthersShare(),
            stop=self._planned_stop,
            metrics=metrics,
            clock=clock,
            rng=rng,
            zone=self._node.zone,
            config=SendConfig.from_config(self._policy),
            shares=self._shares,
            plain_capacity=self._plain_capacity.learned,
        )
        self._quota = QuotaLimiter(self._limits, clock, bounds, metrics)
        self.intake = Intake(parts, self._quota, self._policy.quota_wait)
        client_budget = client_budget_config(self._node)
        self.clients = RawListener(
            self.intake.handle,
            self._cfg.address,
            opened,
            bounds=ClientBounds(
                ClientBudget(client_budget, clock.now),
                self._client_limits,
                metrics,
            ),
        )
        self._ready = RawListener(self._answer_ready, self._cfg.ready_address, opened)
        self._followers = (
            ConfigTableFollower(
                ports.store, ports.wire, self.view, clock, rng, metrics
            ),
            MembersFollower(ports.store, ports.wire, self.view, clock, rng, metrics),
        )
        deltas = DeltaReceiver(self.view, clock)
        deltas.on_newer_config = lambda version: self._view_sync.request_config(version)
        self._reporter = RelayReporter(
            ReporterParts(
                self._node.id,
                incarnation,
                self.usage,
                self._selector,
                self._quota,
                self._limits,
                self._failure_rates,
                self._suspects,
                self._split,
                self._rollout_receiver,
                self._notices,
                self._retries,
                deltas,
                self._links,
                self.view,
                clock,
                SpeedReporter(self._selector.speeds, clock),
                self._plain_capacity,
                self._shares,
            ),
            self._cfg.peer_address,
        )
        handler = PeerHandler(
            peers.credential,
            self.coordinator,
            self.view,
            deltas,
            LongPromptReceiver(self._selector, clock),
            self._suspects,
            self._split,
            metrics,
            clock,
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
                self._reporter.build_report,
                self._apply_reply,
                self._policy.exchange_s,
            ),
            seeds,
        )
        self._forwards = ForwardHandler(
            ForwardParts(
                self.view,
                self._paths,
                self._links,
                notice_reader,
                self._crashes,
                answer_ends,
                ports.wire,
                metrics,
                clock,
                client_budget.max_accepted_bytes,
            )
        )
        handler.forward = self._forwards.handle
        handler.serve(CONFIRM, self._confirmation.answer)
        handler.serve(STREAM_STARTS, self._stream_versions.receive_starts)
        handler.serve(STREAM_VERSION, self._stream_versions.answer)
        handler.serve(HOLDER, self._exchange.receive_lease_holder)
        handler.serve(ROLLOUTS, self._rollout_receiver.receive)
        self._rollout_receiver.report_now = self._exchange.report_now
        self._links.on_change = self._exchange.report_now
        self.coordinator.on_lease_gained = self._announce
        self._limits.coordinator = self._exchange
        self._limits.address = lambda: self._reporter.address
        self.coordinator.is_standby = lambda: self._limits.is_standby
        self.coordinator.has_standby = lambda: self._limits.is_delegated_to_standby
        self.coordinator.previous_relay_count = lambda: (
            self._exchange.previous_relay_count
        )
        config, members = self._followers
        members.receives_pushes = lambda: (
            self._exchange.receives_deltas and self._is_coordinator_in_era()
        )
        self.view.receives_deltas = lambda: self._exchange.receives_deltas
        config.receives_pushes = lambda: self._exchange.receives_config
        config.pushes_to_others = lambda: self.coordinator.should_push_config
        config.hears_version = lambda: self._exchange.hears_config
        self.view.on_orders_needed = config.restart_poll
        self.coordinator.persist_with_lease(
            CrashStore(ports.store, self._suspects, clock)
        )
        versions = VersionStore(
            ports.store,
            self._stream_versions.noted_versions,
            self._stream_versions.restore_versions,
        )
        self.coordinator.persist_with_lease(versions)
        self._stream_versions.load_history = versions.read
        self._stream_versions.on_second_version = self.coordinator.write_soon
        self._rollouts = self._build_rollouts(ports)
        handler.rollouts = self._rollouts.report
        self.coordinator.compare_crashes = self._suspects.exchange_evidence
        self.coordinator.store_is_fresh = lambda: members.fresh
        self.coordinator.config_is_fresh = lambda: config.fresh
        self.coordinator.config_age = lambda: config.confirmed_age
        self._delta_publisher = DeltaPublisher(
            self.view, self._client, clock, self.coordinator.delta_targets
        )
        self._view_sync = ViewSync(
            self._exchange,
            self._other_relays,
            self._client,
            ports.wire,
            self.view,
            self._suspects,
            self._rollout_receiver,
            self._followers,
            clock,
            rng,
        )
        self._leaving_times = LeavingTimes(
            self.coordinator, ports.engines, self.view, clock
        )
        self._fleet = FleetScaler(
            self.coordinator,
            ports.duties,
            self.view,
            metrics,
            clock,
            FleetConfig.from_config(self._policy),
        )
        self._fleet.target_version = self._rollouts.target_version
        self._fleet.engine_speed = self._selector.speeds.speed

    def _client_limits(self) -> RequestLimits:
        """Return the limits of clients' requests, as of the configuration."""
        index = self.view.index
        limits = DEFAULT_CLIENT_LIMITS if index is None else index.table.limits
        return RequestLimits(
            limits.header_bytes + _REQUEST_LINE_BYTES,
            limits.body_bytes,
            limits.header_timeout,
            limits.idle_timeout * _IDLE_TIMEOUT_FACTOR,
            self._cfg.unread_s,
        )

    def _build_coordinator(
        self, ports: RelayPorts, bounds: QuotaBounds, incarnation: str
    ) -> Coordinator:
        """Return the coordinator, which is active while this relay holds the lease."""
        cfg = self._cfg
        coordinator = Coordinator(
            CoordinatorParts(
                ports.store, ports.duties, self.view, self._clock, self._rng
            ),
            CoordinatorLease(
                self._node.id, incarnation, cfg.peer_address, cfg.lease_ms / 1000.0
            ),
            UsageLedger(cfg.usage_window_s, cfg.usage_late_s),
            bounds,
            cfg.checks_fence,
            QuotaConfig.from_config(self._policy),
            CoordinatorCapacity.from_config(cfg, self._policy),
        )
        coordinator.start_retries.limit = start_retry_limit(cfg)
        return coordinator

    def _build_shares(self, credential: str) -> ShareGate | None:
        """Return this relay's gate for accounts' shares, None if they are off.

        Plain services have shares only where `learn_capacity` is on, too.
        """
        if not self._policy.fair_shares:
            return None
        self.coordinator.share_divider = ShareDivider(
            self.view, self._clock, self._metrics
        )
        returns = None
        # Without a credential anyone could sign tickets.
        if self._policy.return_tickets and credential:
            returns = ReturnOrder(TicketSigner(credential), self._rng)
        work = RequestWork(self.view, self._selector.speed)
        work.plain = self._plain_capacity.learned
        return ShareGate(work, self._clock, self._metrics, returns)

    def _build_rollouts(self, ports: RelayPorts) -> Rollouts:
        """Return the service that decides on roll-outs while this relay coordinates."""
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
            RolloutConfig(
                bound=ExposureBound(self._cfg.expose_share, self._cfg.expose_slack)
            ),
        )
        rollouts.write_soon = self.coordinator.write_soon
        rollouts.on_gates = self._rollout_receiver.receive
        self.coordinator.rollouts = rollouts.message
        self.coordinator.persist_with_lease(rollouts.store)
        return rollouts

    def on_init_dependencies(self) -> Iterable[Service]:
        """Return the children, in the order of their start."""
        children = self._children_in_order()
        for service in (self, *children):
            if isinstance(service, SupervisedService):
                service.on_task_failed = self._count_failed_task
        return children

    def _count_failed_task(self) -> None:
        self._metrics.count(Event.TASKS_FAILED)

    def _children_in_order(self) -> list[Service]:
        return [
            *self._followers,
            self.peers,
            self.coordinator,
            self._exchange,
            self._limits,
            self._delta_publisher,
            self._long_prompts,
            self._suspects,
            self._crashes,
            self._links,
            self._stream_versions,
            self._view_sync,
            self._leaving_times,
            self._rollouts,
            self._rollout_receiver,
            self._fleet,
            self._migrator,
            self._ready,
            self.clients,
        ]

    async def on_started(self) -> None:
        """Publish the picked port, where the settings name none, and start duties."""
        host = self._cfg.peer_address.rpartition(":")[0]
        address = f"{host}:{self.peers.port}"
        self._cfg = self._cfg._replace(peer_address=address)
        self._reporter.address = address
        self.coordinator.lease.set_address(address)
        self.coordinator.start_duties()
        self._exchange.reachable.set()

    def reload(self, settings: dict[str, Any]) -> None:
        """Apply changed settings and seeds; addresses stay until the next start."""
        old = self._cfg
        self._cfg = settings["relay"]._replace(
            address=old.address,
            ready_address=old.ready_address,
            peer_address=old.peer_address,
        )
        self.coordinator.start_retries.limit = start_retry_limit(self._cfg)
        self._exchange.add_seeds(seed_addresses(settings["peers"].seeds))

    def _announce(self) -> None:
        """Notify all known relays that this one is the coordinator now."""
        self.run_once(self._exchange.announce())

    def _other_relays(self) -> list[str]:
        """Return the addresses of the other known relays."""
        relays = self._exchange.relays
        return [address for address in relays if address != self._reporter.address]

    # --- exchange with the coordinator ---------------------------------------
    def _apply_reply(self, reply: ExchangeReply, asked_at: float) -> None:
        """Apply the coordinator's reply to the report sent at ``asked_at``."""
        if self._reporter.apply_reply(reply, asked_at):
            self._view_sync.behind = True
        if reply["config"] > self.view.version:
            self._view_sync.request_config(reply["config"])
        self._split.gate_ttl_s = self._exchange.isolation_timeout
        self._retries.configure(retry_share(self._cfg, self._exchange.relay_count))
        on_coordinator = self.coordinator.lease.is_mine
        config, members = self._followers
        for follower in self._followers:
            follower.on_coordinator = on_coordinator
        age = reply.get("config_age")
        if age is not None and reply["config"] <= self.view.version:
            config.confirm(asked_at - age)
        if self._exchange.receives_deltas and self._is_coordinator_in_era():
            # The reply has all changes that the coordinator has read; its last poll of
            # the store may have begun that long ago.
            members.note_read_until(
                asked_at - FRESH_TIMEOUT_S - COORDINATOR_POLL_TIMEOUT_S
            )
        if on_coordinator:
            # The current poll may have begun when no other relay depended on it.
            config.restart_poll()

    def _is_coordinator_in_era(self) -> bool:
        """Return whether the coordinator's list is of this relay's era of the store.

        It isn't while it hasn't noticed a restore, or if its release knows no eras:
        this relay would ignore its changes.
        """
        era = era_of(self.view.last_change)
        return era_of(self._exchange.coordinator_members) >= era

    @property
    def ready(self) -> bool:
        """Whether this relay can serve new connections."""
        known = self.view.index is not None and self.view.members_known
        return known and not self._reporter.leaving

    async def _answer_ready(self, _req: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.ready else 503)

    def _forget_endpoint(self, endpoint_id: str) -> None:
        """Drop all that was learned of an endpoint before it restarted."""
        self._selector.forget(endpoint_id)
        self._plain_capacity.forget(endpoint_id)
        self._failure_rates.forget(endpoint_id)
        self._outliers.forget(endpoint_id)
        self._pools.drop(endpoint_id)

    def _forget_failures(self, endpoint_ids: Iterable[str]) -> None:
        """Drop failures of endpoints that were due to this relay's own links."""
        for endpoint_id in endpoint_ids:
            self._outliers.forget(endpoint_id)
            self._failure_rates.forget(endpoint_id)

    @supervised_task
    async def _forget_removed_endpoints(self) -> None:
        """Drop the connections and load of endpoints that are no longer listed."""
        while not self.should_stop:
            await self._clock.sleep(_SWEEP_INTERVAL_S)
            self._pools.retain_only(self.view.members)
            self._selector.retain_only(self.view.members)
            self._plain_capacity.retain_listed()
            self._links.retain_only(self.view.members)

    async def drain(self) -> None:
        """Let the load balancer remove this relay, and finish requests in flight.

        The listener stays open: until the balancer notices, new connections
        still arrive, and each is served. Every answer closes its connection,
        so keep-alive connections end with their next request.
        """
        self._reporter.leaving = True
        self._forwards.draining = True
        started_at = self._clock.now()
        end = started_at + self._cfg.grace_s - _EXIT_RESERVE_S
        window = StopWindow(started_at + self._cfg.settle_s, end)
        self._planned_stop.begin(window)
        logger.info("Draining.", in_flight=self._in_flight)
        release = asyncio.ensure_future(
            self._call_by(end, "lease release", self.coordinator.release())
        )
        await self._clock.sleep(self._cfg.settle_s)
        await self._finish_by(end)
        await release
        report_by = max(end, self._clock.now() + _LAST_REPORT_S)
        await self._call_by(report_by, "last report", self._exchange.flush())
        # More requests may have arrived during the last report.
        await self._finish_by(end)
        self.clients.close_gracefully()
        # Answers that the stop has ended are still being written.
        await self._finish_by(end + _LAST_ANSWERS_S)
        logger.info(
            "Drained.",
            in_flight=self._in_flight,
            answered=self._planned_stop.answered,
            refused=self._planned_stop.refused,
            took_s=round(self._clock.now() - started_at, 3),
        )

    async def _call_by(
        self, deadline: float, name: str, call: Coroutine[Any, Any, None]
    ) -> None:
        """Await a call until ``deadline``: who is called may not answer."""
        try:
            async with asyncio.timeout(deadline - self._clock.now()):
                await call
        except TimeoutError:
            logger.warning("Given up at the stop.", call=name)

    @property
    def _in_flight(self) -> int:
        """Requests of clients, and of other relays, that aren't done."""
        return self.clients.open_requests + self._forwards.in_flight

    async def _finish_by(self, deadline: float) -> None:
        """Wait until nothing is in flight, at most until ``deadline``."""
        while self._in_flight and self._clock.now() < deadline:
            await self._clock.sleep(_DRAIN_CHECK_INTERVAL_S)

    async def on_stop(self) -> None:
        """Drain while all children still work."""
        await self.drain()

    async def on_shutdown(self) -> None:
        """Close the connections that children used until they stopped."""
        self._pools.close()
        await self._forwarder.close()
        await self._client.close()
        await self.ports.store.close()
        await self.ports.duties.close()
        await self.ports.engines.close()
