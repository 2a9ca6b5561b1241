"""`AdmissionPort` on top of `Admission`: queues requests until they may start."""

import asyncio
from collections.abc import Callable
from random import Random

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.ports import ConfigPort, Ticket
from ebonydeal._internal.models.document import Deployment
from ebonydeal._internal.models.requests import Request
from ebonydeal._internal.observe.counters import Metrics, Timing
from ebonydeal._internal.observe.trail import Step, Trails
from ebonydeal._internal.routing.admission.admission import (
    Admission,
    AdmissionRequest,
    Admit,
    Refuse,
    Wait,
)
from ebonydeal._internal.routing.limits.account_limits import AccountLimits
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.ids import new_token

_REFRESH_INTERVAL_S = 0.1


class _Ticket:
    """An admitted request's share of the limits."""

    def __init__(self, queue: "AdmissionQueue", ticket_id: str) -> None:
        self._queue = queue
        self._id = ticket_id

    def release(self, tokens: int) -> None:
        """Release the share; ``tokens`` is the number used."""
        self._queue.release(self._id, tokens)


class _DeferredTicket:
    """A deferred request's share of its account's limits during acceptance."""

    def __init__(self, limits: AccountLimits, account: str, clock: Clock) -> None:
        self._limits = limits
        self._account = account
        self._clock = clock

    def release(self, tokens: int) -> None:
        """Release the share."""
        self._limits.settle(self._account, 0.0, float(tokens), self._clock.wall())


class AdmissionQueue(Service):
    """Queues requests until the admission controller lets them start.

    Parameters
    ----------
    admission : Admission
        Decides which requests start, wait or are refused.
    capacity : callable
        Returns how many requests of a deployment may run at once.
    config : ConfigPort
        Deployments and client accounts.
    metrics, trails, clock, rng
        Metrics, decision trails, time, ids.
    """

    def __init__(
        self,
        admission: Admission,
        capacity: Callable[[str], int],
        config: ConfigPort,
        metrics: Metrics,
        trails: Trails,
        clock: Clock,
        rng: Random,
    ) -> None:
        super().__init__()
        self._admission = admission
        self._capacity = capacity
        self._config = config
        self._metrics = metrics
        self._trails = trails
        self._clock = clock
        self._rng = rng
        self._version = -1
        self._pending: dict[str, asyncio.Future[None]] = {}

    async def admit(self, request: Request, deployment: Deployment) -> Ticket:
        """Wait for admission; raises `EbonydealError` if refused."""
        started = self._clock.now()
        self._apply_config()
        self._update_capacity(deployment.name)
        admission_request = AdmissionRequest(
            request_id=new_token("q", self._rng),
            account=request.account,
            deployment=deployment.name,
            priority=request.priority,
            tokens=float(request.prompt_tokens + request.max_tokens),
            deadline=request.deadline,
        )
        match self._admission.offer(admission_request, self._clock.wall()):
            case Refuse() as refusal:
                raise _error(refusal)
            case Wait(expected_s=expected):
                self._trails.add_step(
                    request.request_id,
                    self._clock.wall(),
                    Step.QUEUED,
                    expected_s=round(expected, 3),
                )
                await self._wait(admission_request.request_id)
        self._metrics.record_duration(Timing.QUEUE, self._clock.now() - started)
        return _Ticket(self, admission_request.request_id)

    def admit_deferred(self, request: Request) -> Ticket:
        """Count a request that runs later; raises RATE_LIMITED without waiting.

        It needs no endpoint now, so it neither waits nor takes a slot.
        """
        self._apply_config()
        limits = self._admission.limits
        exceeded = limits.take(request.account, 0.0, self._clock.wall())
        if exceeded is not None:
            detail = f"client account limit {exceeded.limit}."
            raise EbonydealError(
                ErrorKind.RATE_LIMITED, detail, retry_after=exceeded.retry_after
            )
        return _DeferredTicket(limits, request.account, self._clock)

    async def _wait(self, ticket_id: str) -> None:
        """Wait until a queued request is admitted; raises if it is refused."""
        fut = asyncio.get_running_loop().create_future()
        self._pending[ticket_id] = fut
        self._admit_waiting()
        try:
            await fut
        except asyncio.CancelledError:
            self._admission.cancel(ticket_id, self._clock.wall())
            self._admit_waiting()
            raise
        finally:
            self._pending.pop(ticket_id, None)

    def release(self, ticket_id: str, tokens: int) -> None:
        """Release an admitted request's share."""
        self._admission.release(ticket_id, float(tokens), self._clock.wall())
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        """Resolve waiting requests that may start now or are refused."""
        for verdict in self._admission.next_ready(self._clock.wall()):
            fut = self._pending.get(verdict.request_id)
            if fut is None or fut.done():
                if isinstance(verdict, Admit):
                    self._admission.release(verdict.request_id, 0.0, self._clock.wall())
                continue
            match verdict:
                case Admit():
                    fut.set_result(None)
                case Refuse() as refusal:
                    fut.set_exception(_error(refusal))

    @Service.task
    async def _refresh_periodically(self) -> None:
        """Refresh capacity and configuration, and apply the queue's time limits."""
        while not self.should_stop:
            self._apply_config()
            for name in list(self._config.document.deployments):
                self._update_capacity(name)
            self._admit_waiting()
            await self._clock.sleep(_REFRESH_INTERVAL_S)

    def _apply_config(self) -> None:
        """Apply the accounts of a new document version."""
        document = self._config.document
        if document.version != self._version:
            self._version = document.version
            self._admission.configure(document.accounts)

    def _update_capacity(self, deployment: str) -> None:
        """Set a deployment's current capacity."""
        slots = self._capacity(deployment)
        self._admission.set_capacity(deployment, slots, self._clock.wall())


def _error(refusal: Refuse) -> EbonydealError:
    """Return the error for the caller."""
    return EbonydealError(
        refusal.kind, f"{refusal.why}.", retry_after=refusal.retry_after
    )
