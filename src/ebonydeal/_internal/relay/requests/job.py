"""One accepted request of a forwarded route, and the collaborators of its sends."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import (
    ForwardAccount,
    ForwardedRequest,
    Repeat,
    Route,
)
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.relay.crashes.crash_detector import CrashDetector
from ebonydeal._internal.relay.crashes.suspects import Suspects
from ebonydeal._internal.relay.limits.permits import EndpointPermits
from ebonydeal._internal.relay.limits.share_gate import ShareGate
from ebonydeal._internal.relay.links.monitor import LinkMonitor
from ebonydeal._internal.relay.peers.long_prompts import LongPromptNotifier
from ebonydeal._internal.relay.peers.stream_versions import StreamVersions
from ebonydeal._internal.relay.ports import Wire
from ebonydeal._internal.relay.requests.answer_end import AnswerEndChecker
from ebonydeal._internal.relay.requests.answer_memory import (
    AnswerMemory,
    hold_nothing,
)
from ebonydeal._internal.relay.requests.connections import EndpointPools
from ebonydeal._internal.relay.requests.endpoint_paths import EndpointPaths
from ebonydeal._internal.relay.requests.migrations import StreamMigrator
from ebonydeal._internal.relay.requests.notices import NoticeReader
from ebonydeal._internal.relay.requests.planned_stop import PlannedStop
from ebonydeal._internal.relay.requests.quota import Admission
from ebonydeal._internal.relay.requests.usage import UsageMeter
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.admission.early_refusal import EarlyRefusal
from ebonydeal._internal.routing.admission.others_share import OthersShare
from ebonydeal._internal.routing.admission.plain_queues import PlainQueues
from ebonydeal._internal.routing.capacity.plain_capacity import PlainCapacity
from ebonydeal._internal.routing.crashes.request_traits import RequestTraits
from ebonydeal._internal.routing.placement.endpoint_selector import EndpointSelector
from ebonydeal._internal.routing.placement.failure_rates import FailureRates
from ebonydeal._internal.routing.placement.outliers import OutlierDetector
from ebonydeal._internal.routing.retries.retries import RetryPolicy
from ebonydeal._internal.routing.rollout.traffic_split import TrafficSplit
from ebonydeal._internal.settings.policy import PolicySettings
from ebonydeal._internal.utils.clock import Clock


class Job(NamedTuple):
    """An accepted request.

    ``started`` and ``deadline`` are monotonic seconds; ``deadline`` is the earlier
    of the client's deadline and the route's timeout. ``admission`` is the admission
    by the rate limit of its client account. ``hold_answer`` is called with the bytes of
    its answer that are held for the client.
    """

    req: ForwardedRequest
    route: Route
    service: str
    account: ForwardAccount | None
    body: bytes
    started: float
    deadline: float
    traits: RequestTraits = RequestTraits("")
    admission: Admission | None = None
    hold_answer: Callable[[int], None] = hold_nothing

    @property
    def at_most_once(self) -> bool:
        """Whether the request may run at most once."""
        match self.route.repeat:
            case Repeat.IDEMPOTENT:
                return False
            case Repeat.STREAM:
                return not self.route.resumable
        return True


class SendConfig(NamedTuple):
    """Timeouts of sends as factors; `PolicySettings` describes each.

    ``first_*`` apply to the wait for a stream's first event, ``gap`` to that for the
    next one, ``plain`` to that for a plain answer. ``by_expectation`` says that sends
    end early, and plain requests are refused, by what is expected of endpoints.
    """

    first_objectives: float = 1.0
    first_spread: float = 2.0
    first_max_objectives: float = 3.5
    gap: float = 1.5
    plain: float = 0.6
    use_leaving: bool = True
    late_last: bool = True
    by_expectation: bool = False

    @classmethod
    def from_config(cls, cfg: PolicySettings) -> "SendConfig":
        """Build from settings."""
        return cls(
            cfg.first_patience,
            cfg.first_spread,
            cfg.first_longest,
            cfg.gap_patience,
            cfg.plain_patience,
            cfg.use_leaving,
            cfg.late_last,
            cfg.resend_by_expectation,
        )


class SendParts(NamedTuple):
    """Collaborators that sends use.

    ``plain_capacity`` is None where `learn_capacity` is off.
    """

    wire: Wire
    view: RelayView
    selector: EndpointSelector
    outliers: OutlierDetector
    failure_rates: FailureRates
    refusal: EarlyRefusal
    retries: RetryPolicy
    pools: EndpointPools
    paths: EndpointPaths
    links: LinkMonitor
    usage: UsageMeter
    migrator: StreamMigrator
    long_prompts: LongPromptNotifier
    crashes: CrashDetector
    answer_ends: AnswerEndChecker
    answer_memory: AnswerMemory
    suspects: Suspects
    split: TrafficSplit
    stream_versions: StreamVersions
    notices: NoticeReader
    permits: EndpointPermits
    plain_queues: PlainQueues
    others_share: OthersShare
    stop: PlannedStop
    metrics: Metrics
    clock: Clock
    rng: Random
    zone: str
    config: SendConfig = SendConfig()
    # None where `fair_shares` is off.
    shares: ShareGate | None = None
    plain_capacity: PlainCapacity | None = None
