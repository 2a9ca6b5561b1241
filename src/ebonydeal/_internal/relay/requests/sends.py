"""The sends of one job: which endpoint next, and whether there is a next."""

from asyncio import timeout
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import (
    AnswerHead,
    KvCacheRef,
    Member,
    SendMetadata,
)
from ebonydeal._internal.observe.counters import Event, RetryReason
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.requests.endpoint_chooser import (
    EndpointChoice,
    EndpointChooser,
)
from ebonydeal._internal.relay.requests.job import Job, SendParts
from ebonydeal._internal.relay.requests.migrations import MigratedRun
from ebonydeal._internal.relay.requests.outcomes import (
    Answered,
    MayHaveRun,
    NotSent,
    Outcome,
    ProvedNotRun,
    RunProof,
)
from ebonydeal._internal.routing.placement.endpoint_load import Sent
from ebonydeal._internal.routing.retries.retries import Failure, GiveUp
from ebonydeal._internal.routing.rollout.split import Awaited

logger = get_logger("relay.job")

# Sends that never left this process are free, but an end there must be.
_MOST_UNSENT = 6
_WAIT_STEP_S = 0.02
# Engines rank requests from 0, the first, to this.
_LEAST_URGENT = 9
# Endpoints in one line.
_MOST_LOGGED = 4
# Share of the objective that a request waits for an endpoint to appear.
_WAIT_SHARE = 0.2


_REASONS = {
    ErrorKind.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    ErrorKind.ENDPOINT_REFUSED: RetryReason.ENDPOINT_REFUSED,
    ErrorKind.ENDPOINT_STALLED: RetryReason.ENDPOINT_STALLED,
}


class JobSends:
    """The sends of one job: which endpoint next, and whether there is a next."""

    def __init__(self, parts: SendParts, job: Job) -> None:
        self._parts = parts
        self.job = job
        self.chooser = EndpointChooser(parts, job)
        self.proof = RunProof(not job.at_most_once)
        self._ran = 0
        self._unsent = 0
        self._tries = 0
        self._avoid: set[str] = set()
        self._counted = False
        self.sent: Sent | None = None
        # Seconds to the first event of the last send, where that is known.
        self.expected: float | None = None
        self.member: Member | None = None
        self._source = ""
        self._carried: KvCacheRef | None = None
        # The split's number of the answer that is waited for; 0 for none.
        self._pending = 0

    @property
    def left(self) -> float:
        """Time left, seconds."""
        return self.job.until - self._parts.clock.now()

    async def choose(self) -> Member:
        """Return the next endpoint; raises NO_ENDPOINT or DEADLINE_EXCEEDED."""
        parts, job = self._parts, self.job
        if self.member is not None:
            await parts.crashes.checked(self.member)
        patience = parts.clock.now() + job.route.objective * _WAIT_SHARE
        while True:
            self._check()
            if self.left <= 0.0:
                raise self.proof.refusal(_late())
            found = self.chooser.find(self._avoid, again=self._tries > 0)
            if found is None:
                self._refuse_limited(patience)
                if parts.clock.now() >= patience:
                    error = EbonydealError(ErrorKind.NO_ENDPOINT, f"of {job.service}")
                    raise self.proof.refusal(error)
                await parts.clock.sleep(_WAIT_STEP_S)
                continue
            self._refuse_early(found.expected)
            await self._renew_admission()
            if await parts.permits.take(found.member):
                break
        if self._tries == 0:
            parts.retries.first_send(job.service, parts.clock.now())
        self._carried = None
        return self._take(found)

    def _refuse_limited(self, patience: float) -> None:
        """Raise ENDPOINTS_LIMITED where no endpoint has room until ``patience``."""
        wait = self.chooser.opens_in(self._avoid)
        if wait is not None and self._parts.clock.now() + wait > patience:
            detail = f"all endpoints of {self.job.service} rest or have a limit"
            error = EbonydealError(
                ErrorKind.ENDPOINTS_LIMITED, detail, retry_after=wait
            )
            raise self.proof.refusal(error)

    async def _renew_admission(self) -> None:
        """Admit the request anew where it waited too long; raises RATE_LIMITED.

        One that may have run counts in the window in which it first arrived.
        """
        admission = self.job.admission
        if admission is None or self.proof.may_have_run:
            return
        try:
            await admission.renew(self._parts.clock.now())
        except EbonydealError as exc:
            raise self.proof.refusal(exc) from None

    def _check(self) -> None:
        """Raise REQUEST_QUARANTINED where this request brings endpoints down."""
        try:
            self._parts.suspects.check(self.job.digest)
        except EbonydealError as exc:
            raise self.proof.refusal(exc) from None

    async def resume(self, moved: MigratedRun) -> Member:
        """Send the request where its run's memory was passed to."""
        self._check()
        # The run that was stopped counts as one: without its memory, only a
        # request that may be repeated is run again.
        self.proof.may_have_run = True
        if not await self._parts.permits.take(moved.member):
            if not self.proof.may_send:
                detail = f"{moved.member.endpoint_id} rests or has a limit"
                error = EbonydealError(ErrorKind.ENDPOINTS_LIMITED, detail)
                raise self.proof.refusal(error)
            return await self.choose()
        self._carried = moved.carried
        return self._take(EndpointChoice(moved.member, 0.0, None))

    def _take(self, found: EndpointChoice) -> Member:
        """Note the endpoint of the next send."""
        parts, job = self._parts, self.job
        member = self.member = found.member
        self._source = found.source
        self._tries += 1
        now = parts.clock.now()
        self.sent = parts.choice.sent(self.chooser.ask(), member, found.missed, now)
        self._note_version(member, now)
        expected = self.expected = found.expected
        if expected is not None:
            reading = parts.choice.speed.reading(found.missed)
            parts.long_reads.sent(member.endpoint_id, reading, expected)
        logger.info(
            "Sent.",
            request=job.req.request_id,
            digest=job.digest,
            service=job.service,
            endpoint=member.endpoint_id,
            zone=member.zone,
            version=member.version,
            expected_s=None if expected is None else round(expected, 3),
            to_read=round(found.missed),
            fetches=bool(found.source),
            carried=self._carried is not None,
            running=parts.choice.running(member.endpoint_id),
            told_age_s=parts.choice.told_age(member.endpoint_id, now),
            config=parts.view.version,
            send=self._tries,
            waited_s=round(now - job.started, 4),
            without_room=self.chooser.without_room[:_MOST_LOGGED],
        )
        return member

    def _note_version(self, member: Member, now: float) -> None:
        """Count the send where the service has a roll-out."""
        parts, job = self._parts, self.job
        split = parts.split
        self._pending = 0
        if not split.watches(job.service):
            return
        route = job.route.name
        if split.sent(job.service, route, member, first=self._tries == 1):
            parts.metrics.count(Event.SENT_TO_NEW_VERSION)
        self._pending = split.awaits(
            Awaited(job.service, route, member, self.expected, job.route.objective, now)
        )

    def _note_answer(self) -> None:
        """Count an answer, or a stream's first event, for its version."""
        if self._pending:
            self._parts.split.answered(self._pending, self._parts.clock.now())
            self._pending = 0

    def _note_failure(self, member: Member) -> None:
        """Count a failure that may be the version's."""
        self._forget_answer()
        if self._parts.split.failed(self.job.service, self.job.route.name, member):
            self._parts.metrics.count(Event.NEW_VERSION_FAILED)

    def _forget_answer(self) -> None:
        """Wait for no answer any more, which says nothing of the version."""
        if self._pending:
            self._parts.split.gave_up(self._pending)
            self._pending = 0

    def _refuse_early(self, expected: float | None) -> None:
        """Raise SHED where the answer would surely be late."""
        job = self.job
        if expected is None or self._tries or job.req.client_timeout is None:
            return
        wait = self._parts.refusal.wait(
            job.route.name,
            job.req.client_timeout,
            job.route.objective,
            self.urgency,
            expected,
        )
        if wait is not None:
            detail = f"first event expected in {expected:.2f} s"
            raise EbonydealError(ErrorKind.SHED, detail, retry_after=wait)

    @property
    def is_last(self) -> bool:
        """Whether no send may follow the one under way, so that it is waited for.

        To end a silent one then loses an answer that may still come.
        """
        job, parts = self.job, self._parts
        return (
            job.at_most_once
            or self._ran + 1 >= job.route.max_sends
            or not parts.retries.affords(job.service, self._tries)
        )

    @property
    def urgency(self) -> int:
        """0 is served first; a client account's rank goes before the route's."""
        account = self.job.account
        if account is not None and account.priority is not None:
            return account.priority
        return self.job.route.priority

    def send_metadata(self, last_event: str = "") -> SendMetadata:
        """Return what the next send tells its endpoint."""
        assert self.member is not None
        account = self.job.account
        return SendMetadata(
            endpoint_id=self.member.endpoint_id,
            account="" if account is None else account.name,
            time_left=self.left,
            priority=self._rank() if self.job.route.has_prompt else None,
            last_event=last_event,
            carried=self._carried,
            fetch_from=self._source,
        )

    def _rank(self) -> int:
        """Return the urgency that an engine is told.

        One that will be late wherever it runs earns the same a little later, and a
        long prompt makes all that wait behind it late: so it lets others go first.
        """
        job = self.job
        waited = self._parts.clock.now() - job.started
        late = (
            self.expected is not None
            and waited + self.expected > job.route.objective > 0.0
        )
        if late and self._parts.terms.late_last:
            return _LEAST_URGENT
        return min(_LEAST_URGENT, self.urgency)

    def count_run(self, wall: float) -> None:
        """Count the request once as begun, however often it is sent."""
        account = self.job.account
        if account is not None and not self._counted:
            self._counted = True
            self._parts.usage.record_start(account.name, wall)

    def read_notice(self, head: AnswerHead) -> None:
        """Take what the endpoint says of itself."""
        if self.sent is not None and self.member is not None:
            request_id = self.job.req.request_id
            self._parts.notices.read(self.member, head, request_id, self.sent.at)

    def record_activity(self) -> None:
        """Note a sign of life of the endpoint."""
        if self.sent is not None and self.member is not None:
            self._parts.suspects.heard(self.member, self.sent.at)

    def record_answer(self, status: int) -> None:
        """Note a whole answer that goes to the client."""
        assert self.member is not None
        parts, endpoint_id = self._parts, self.member.endpoint_id
        now = parts.clock.now()
        parts.outliers.succeeded(endpoint_id, now)
        parts.failing.answered(endpoint_id, now)
        if status >= 500:
            self._note_failure(self.member)
        else:
            self._note_answer()
        if status < 300:
            # An endpoint that fails part of its requests may do so before it runs them.
            parts.suspects.served(self.job.digest)

    @asynccontextmanager
    async def limited(self, seconds: float) -> AsyncIterator[None]:
        """Raise TimeoutError after so long, or once the request is quarantined."""
        assert self.member is not None
        digest, endpoint_id = self.job.digest, self.member.endpoint_id
        async with timeout(seconds) as limit:
            with self._parts.suspects.at_work(digest, endpoint_id, limit):
                yield

    def record_first_event(self) -> None:
        """Note the first event or the answer."""
        self._note_answer()
        if self.sent is not None:
            self.sent = self._parts.choice.began(self.sent, self._parts.clock.now())

    def record_end(self) -> None:
        """Note that the send is over."""
        if self._pending:
            self._parts.split.over(self._pending, self._parts.clock.now())
        if self.sent is not None:
            self._parts.choice.ended(self.sent)
            self.sent = None

    def check_resend(self, outcome: Outcome, delivered: bool = False) -> None:
        """Return if another send may be made; else raise the final error.

        ``delivered`` says that a part of a stream reached the client.
        """
        parts, job = self._parts, self.job
        assert self.member is not None
        endpoint = self.member.endpoint_id
        self.proof.note(outcome)
        self._avoid.add(endpoint)
        now = parts.clock.now()
        error = _error_of(outcome)
        match outcome:
            case MayHaveRun(kind=ErrorKind.ENDPOINT_FAILED):
                parts.crashes.broke(self.member, job.digest)
        match outcome:
            case MayHaveRun() | Answered():
                self._note_failure(self.member)
            case NotSent() | ProvedNotRun():
                # A full queue and a broken link say nothing of the version.
                self._forget_answer()
        if self._still_listed(self.member):
            parts.outliers.failed(endpoint, error.kind, now)
            parts.failing.failed(endpoint, error.kind, now)
        self._forget_avoided()
        verdict = self._verdict(outcome, error, delivered, now)
        logger.info(
            "Send failed.",
            request=job.req.request_id,
            digest=job.digest,
            endpoint=endpoint,
            outcome=type(outcome).__name__,
            kind=str(error.kind),
            detail=error.detail,
            tries=self._tries,
            again=verdict is None,
        )
        if verdict is not None:
            raise self.proof.refusal(verdict)
        reason = _REASONS.get(error.kind, RetryReason.ENDPOINT_FAILED)
        parts.metrics.retried(reason)

    def _still_listed(self, member: Member) -> bool:
        """Return whether an endpoint hasn't started again since it was chosen."""
        listed = self._parts.view.members.get(member.endpoint_id)
        return listed is None or listed.incarnation == member.incarnation

    def _forget_avoided(self) -> None:
        """Allow endpoints again where none other is left."""
        parts, now = self._parts, self._parts.clock.now()
        if not any(
            member.endpoint_id not in self._avoid
            and parts.permits.wait(member, now) <= 0.0
            for member in parts.view.of_service(self.job.service)
        ):
            self._avoid.clear()

    def _verdict(
        self, outcome: Outcome, error: EbonydealError, delivered: bool, now: float
    ) -> EbonydealError | None:
        """Return None to send again, or the error to give up with."""
        job = self.job
        if not self.proof.may_send:
            # Also where this send never left: an earlier one may have run.
            return error
        match outcome:
            case NotSent():
                self._unsent += 1
                return error if self._unsent >= _MOST_UNSENT else None
            case ProvedNotRun():
                pass
            case MayHaveRun() | Answered():
                self._ran += 1
                if self._ran >= job.route.max_sends:
                    return error
        failure = Failure(
            kind=error.kind,
            deployment=job.service,
            idempotent=not job.at_most_once,
            ran_before=self.proof.may_have_run,
            first_byte=delivered and job.at_most_once,
            deadline=job.until,
        )
        match self._parts.retries.next_try(failure, self._tries, now):
            case GiveUp(kind=kind, retry_after=wait, why=why):
                return EbonydealError(kind, f"{error.detail}; {why}", retry_after=wait)
        return None


def _late() -> EbonydealError:
    return EbonydealError(ErrorKind.DEADLINE_EXCEEDED, "no time is left")


def _error_of(outcome: Outcome) -> EbonydealError:
    """Return the error kind of a send that gave no good answer."""
    match outcome:
        case NotSent(kind=kind, detail=detail):
            return EbonydealError(kind, detail)
        case ProvedNotRun(status=status):
            return EbonydealError(ErrorKind.ENDPOINT_REFUSED, f"status {status}")
        case MayHaveRun(kind=kind, detail=detail):
            return EbonydealError(kind, detail)
        case Answered(head=head):
            return EbonydealError(ErrorKind.ENDPOINT_FAILED, f"status {head.status}")
