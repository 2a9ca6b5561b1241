"""The sends of one job: the next endpoint, and whether a resend is allowed."""

from asyncio import timeout
from collections.abc import AsyncIterator, Set
from contextlib import asynccontextmanager

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import (
    AnswerHead,
    EndpointProcess,
    KvCacheRef,
    Member,
    Repeat,
    SendMetadata,
)
from ebonydeal._internal.observe.counters import Event, RetryReason
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.requests.answer_end import EndedAnswer
from ebonydeal._internal.relay.requests.endpoint_chooser import (
    EndpointChoice,
)
from ebonydeal._internal.relay.requests.exchange import Exchange, OutgoingRequest
from ebonydeal._internal.relay.requests.job import Job, SendParts
from ebonydeal._internal.relay.requests.migrations import MigratedRun
from ebonydeal._internal.relay.requests.outcomes import (
    NOT_RUN_STATUSES,
    Answered,
    MayHaveRun,
    NotSent,
    Outcome,
    ProvedNotRun,
)
from ebonydeal._internal.relay.requests.send_history import SendHistory
from ebonydeal._internal.routing.placement.endpoint_load import SentRequest
from ebonydeal._internal.routing.retries.retries import Failure, GiveUp
from ebonydeal._internal.routing.rollout.traffic_split import AwaitedAnswer
from ebonydeal._internal.utils.http_framing import is_close_delimited

logger = get_logger("relay.job")

# Sends of which no byte left this process use no endpoint's time, but are bounded.
_MAX_UNSENT_SENDS = 6
_POLL_INTERVAL_S = 0.02
# Engines serve priorities from 0, the first, to this.
_LOWEST_PRIORITY = 9
# Endpoints in one log line.
_MAX_LOGGED_ENDPOINTS = 4
# Share of the latency objective for which a request waits for an available endpoint.
_MAX_WAIT_SHARE = 0.2


_REASONS = {
    ErrorKind.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    ErrorKind.ENDPOINT_REFUSED: RetryReason.ENDPOINT_REFUSED,
    ErrorKind.ENDPOINT_STALLED: RetryReason.ENDPOINT_STALLED,
}


class JobSends:
    """The sends of one job: the next endpoint, and whether a resend is allowed.

    They follow each other. `beside` returns others of the same job, for a send that
    begins while the current one is still awaited.
    """

    def __init__(
        self, parts: SendParts, job: Job, history: SendHistory | None = None
    ) -> None:
        self._parts = parts
        self.job = job
        self._history = history or SendHistory.of_job(parts, job, self.priority)
        self.proof = self._history.proof
        self.chooser = self._history.chooser
        self.reserve = self._history.reserve
        self.refused_moves = self._history.refused_moves
        # Whether the current send counts as a possible run already.
        self._counted_run = False
        self.sent: SentRequest | None = None
        # The endpoint that counts the current send, where its capacity is learned, and
        # whether a complete answer of a status below 500 came.
        self._counted_by: EndpointProcess | None = None
        self._answered = False
        # Expected seconds to the first event of the last send, if known.
        self.expected: float | None = None
        # The same, or for plain requests the expected seconds to the answer.
        self.expected_answer_s: float | None = None
        # Whether only the retry budget prevented another send after the current one.
        self.lacks_budget = False
        # Whether a resend is taken from the retry budget in advance, and its reason.
        self._reserved = False
        self.resend_reason: RetryReason | None = None
        self.member: Member | None = None
        # Whether the current send went through another relay, and its connection.
        self._forwarded = False
        self._connection = ""
        self._source = ""
        self._kv_cache: KvCacheRef | None = None
        # The split's number of the answer that it expects; 0 for none.
        self._expected_answer = 0

    @property
    def time_left(self) -> float:
        """Time until the request's deadline, seconds."""
        return self.job.deadline - self._parts.clock.now()

    async def choose(self) -> Member:
        """Return the next endpoint; raises NO_ENDPOINT or DEADLINE_EXCEEDED."""
        parts, job = self._parts, self.job
        if self.member is not None:
            await parts.crashes.wait_until_checked(self.member)
        wait_until = parts.clock.now() + job.route.objective * _MAX_WAIT_SHARE
        while True:
            self._check_quarantine()
            if self._is_too_late():
                raise self.proof.final_error(parts.stop.refusal())
            if self.time_left <= 0.0:
                raise self.proof.final_error(_deadline_exceeded())
            found = self.chooser.find(self._excluded, resend=self._history.sends > 0)
            if found is None:
                self._refuse_limited(wait_until)
                if parts.clock.now() >= wait_until or self.chooser.is_version_gone():
                    raise self.proof.final_error(self._no_endpoint())
                await parts.clock.sleep(_POLL_INTERVAL_S)
                continue
            if self._history.sends == 0:
                self._history.share.offer(found.uncached_tokens, self.priority)
            self._refuse_early(found)
            if self._history.sends == 0:
                self._history.share.admit(self.time_left)
            await self._renew_admission()
            if await parts.permits.take(found.member):
                break
        if self._history.sends == 0:
            parts.retries.record_first_send(job.service, parts.clock.now())
        self._kv_cache = None
        return self._use(found)

    @property
    def _excluded(self) -> Set[str]:
        """Endpoints that don't get the next send."""
        history = self._history
        if history.possible_runs < self.job.route.max_sends:
            return history.avoid
        # The route permits no other endpoint than those that had the request.
        return self._parts.view.members.keys() - history.overtaken

    def _is_too_late(self) -> bool:
        """Return whether this relay stops before a send that begins now would end."""
        job, stop = self.job, self._parts.stop
        if job.route.repeat is Repeat.STREAM and self.proof.may_have_run:
            # It can't be refused as not run, and may still be answered completely.
            return False
        return stop.is_too_late(job.route, job.deadline)

    def _no_endpoint(self) -> EbonydealError:
        version = self.chooser.version
        of_version = "" if version is None else f" at version {version!r}"
        detail = f"no endpoint of {self.job.service}{of_version}"
        return EbonydealError(ErrorKind.NO_ENDPOINT, detail)

    def _refuse_limited(self, wait_until: float) -> None:
        """Raise ENDPOINTS_LIMITED if no endpoint is available by ``wait_until``."""
        wait = self.chooser.available_in(self._excluded)
        if wait is not None and self._parts.clock.now() + wait > wait_until:
            detail = (
                f"all endpoints of {self.job.service} are in backoff or at their limit"
            )
            error = EbonydealError(
                ErrorKind.ENDPOINTS_LIMITED, detail, retry_after=wait
            )
            raise self.proof.final_error(error)

    async def _renew_admission(self) -> None:
        """Admit the request again if its admission has expired; raises RATE_LIMITED.

        One that may have run counts in the window in which it was first sent.
        """
        admission = self.job.admission
        if admission is None or self.proof.may_have_run:
            return
        try:
            await admission.renew(self._parts.clock.now())
        except EbonydealError as exc:
            raise self.proof.final_error(exc) from None

    def _check_quarantine(self) -> None:
        """Raise REQUEST_QUARANTINED if this request crashes endpoints."""
        try:
            self._parts.suspects.check(self.job.traits)
        except EbonydealError as exc:
            raise self.proof.final_error(exc) from None

    def back_to_source(
        self, migrated: MigratedRun | None, outcome: Outcome
    ) -> MigratedRun | None:
        """Return the run as it continues where it was stopped, or None.

        It does if its target didn't take it, unless the source has no time left or
        the retry budget is spent.
        """
        if migrated is None or not isinstance(outcome, NotSent | ProvedNotRun):
            return None
        self.refused_moves.add_after_stop(migrated.member.endpoint_id)
        back = self._at_source(migrated)
        if back is None or back.member is self.member:
            return None
        parts = self._parts
        if not self.reserve.use() and not parts.retries.try_spend(self.job.service):
            return None
        parts.metrics.count_retry(_reason_of(outcome))
        logger.info(
            "Migrated run goes back.",
            request=self.job.req.request_id,
            endpoint=back.member.endpoint_id,
            outcome=type(outcome).__name__,
        )
        return back

    async def resume(self, migrated: MigratedRun) -> Member:
        """Return the endpoint where a stopped run goes on, for the next send.

        That is its target, or its source if the target mustn't get requests now.
        """
        self._check_quarantine()
        # The stopped run counts as a run: without its KV cache, only a repeatable
        # request is run again.
        self.proof.may_have_run = True
        run: MigratedRun | None = migrated
        while run is not None:
            if await self._parts.permits.take(run.member):
                self._kv_cache = run.kv_cache
                return self._use(EndpointChoice(run.member, 0.0, None))
            run = self._at_source(run)
        if self.proof.may_send:
            return await self.choose()
        detail = f"{migrated.member.endpoint_id} is in backoff or at its limit"
        error = EbonydealError(ErrorKind.ENDPOINTS_LIMITED, detail)
        raise self.proof.final_error(error)

    def _at_source(self, migrated: MigratedRun) -> MigratedRun | None:
        """Return the run as it continues at its source, if that may get requests."""
        back = migrated.at_source()
        if back is None:
            return None
        may_return = self._parts.view.may_get_requests(
            back.member, self._parts.clock.now()
        )
        return back if may_return else None

    def _use(self, found: EndpointChoice) -> Member:
        """Record the endpoint of the next send."""
        parts, job = self._parts, self.job
        member = self.member = found.member
        self._source = found.source
        self._history.sends += 1
        self._counted_run = False
        now = parts.clock.now()
        self.resend_reason = None
        self.expected_answer_s = found.expected
        if parts.config.by_expectation and job.req.prompt_tokens is None:
            # As of now, since the request itself counts as one more afterwards.
            self.expected_answer_s = self.chooser.plain_expected_s(member, now)
        self.sent = parts.selector.record_sent(
            self.chooser.selection_request(),
            member,
            found.uncached_tokens,
            now,
            found.prompt,
        )
        if parts.plain_capacity is not None and job.req.prompt_tokens is None:
            self._counted_by, self._answered = member.process, False
            parts.plain_capacity.record_sent(member.process, now)
        self._record_version(member, now)
        expected = self.expected = found.expected
        if expected is not None:
            prefill_s = parts.selector.speed.prefill_seconds(found.uncached_tokens)
            prefill_s /= found.speed
            parts.long_prompts.note_sent(member.endpoint_id, prefill_s, expected)
        logger.info(
            "Sent.",
            request=job.req.request_id,
            digest=job.traits.digest,
            parts=job.traits.parts,
            service=job.service,
            endpoint=member.endpoint_id,
            zone=member.zone,
            version=member.version,
            expected_s=None if expected is None else round(expected, 3),
            to_read=round(found.uncached_tokens),
            fetches=bool(found.source),
            carried=self._kv_cache is not None,
            running=parts.selector.running_requests(member.endpoint_id),
            told_age_s=parts.selector.report_age(member.endpoint_id, now),
            config=parts.view.version,
            send=self._history.sends,
            waited_s=round(now - job.started, 4),
            without_room=self.chooser.unavailable[:_MAX_LOGGED_ENDPOINTS],
        )
        return member

    def _record_version(self, member: Member, now: float) -> None:
        """Count the send for its version during a roll-out of the service."""
        parts, job = self._parts, self.job
        split = parts.split
        self._expected_answer = 0
        if not split.has_rollout(job.service):
            return
        route = job.route.name
        if split.record_send(
            job.service, route, member, first=self._history.sends == 1
        ):
            parts.metrics.count(Event.SENT_TO_NEW_VERSION)
        self._expected_answer = split.expect_answer(
            AwaitedAnswer(
                job.service, route, member, self.expected, job.route.objective, now
            )
        )

    def _record_version_answer(self) -> None:
        """Count an answer, or a stream's first event, for its version."""
        if self._expected_answer:
            self._parts.split.record_answer(
                self._expected_answer, self._parts.clock.now()
            )
            self._expected_answer = 0

    def _record_version_failure(self, member: Member) -> None:
        """Count a failure that the version may have caused."""
        self._cancel_expected_answer()
        if self._parts.split.record_failure(
            self.job.service, self.job.route.name, member
        ):
            self._parts.metrics.count(Event.NEW_VERSION_FAILED)

    def _cancel_expected_answer(self) -> None:
        """Stop expecting an answer, without a conclusion about the version."""
        if self._expected_answer:
            self._parts.split.cancel_answer(self._expected_answer)
            self._expected_answer = 0

    def _refuse_early(self, found: EndpointChoice) -> None:
        """Raise SHED if the answer would surely be late."""
        job, expected = self.job, found.expected
        if self._history.refusal.enabled:
            if not self.proof.may_have_run:
                self._history.refusal.check(
                    found.member, self._history.avoid, self._history.sends == 0
                )
            return
        if expected is None or self._history.sends or job.req.client_timeout is None:
            return
        wait = self._parts.refusal.wait(
            job.route.name,
            job.req.client_timeout,
            job.route.objective,
            self.priority,
            expected,
        )
        if wait is not None:
            detail = f"first event expected in {expected:.2f} s"
            raise EbonydealError(ErrorKind.SHED, detail, retry_after=wait)

    @property
    def is_last(self) -> bool:
        """Whether no send may follow the current one.

        Ending it early would then lose an answer that may still come.
        """
        job, parts = self.job, self._parts
        others = self._history.possible_runs - self._counted_run
        return (
            job.at_most_once
            or others + 1 >= job.route.max_sends
            or not (
                self._reserved
                or parts.retries.can_retry(job.service, self._history.sends)
            )
        )

    def is_final(self, answer: Answered) -> bool:
        """Return whether an endpoint's answer goes to the client as it is.

        The endpoint states separately that a request has not run. Without that, a
        status by which clients know it would be a false promise.
        """
        if self.job.at_most_once:
            return answer.head.status not in NOT_RUN_STATUSES
        return answer.head.status < 500

    def reserve_resend(self) -> bool:
        """Take a resend from the retry budget before the send is given up.

        `record_end` returns it, just before `check_resend` takes it again.
        """
        if not self._reserved:
            self._reserved = self._parts.retries.try_spend(self.job.service)
        return self._reserved

    def resend_expected_s(self, current: Member) -> float | None:
        """Return as `EndpointChooser.resend_expected_s`."""
        return self.chooser.resend_expected_s(self._history.avoid, current)

    @property
    def priority(self) -> int:
        """Priority, 0 is served first; the client account's overrides the route's."""
        account = self.job.account
        if account is not None and account.priority is not None:
            return account.priority
        return self.job.route.priority

    def send_metadata(self, last_event: str = "") -> SendMetadata:
        """Return the metadata of the next send."""
        assert self.member is not None
        account = self.job.account
        return SendMetadata(
            endpoint_id=self.member.endpoint_id,
            account="" if account is None else account.name,
            time_left=self.time_left,
            priority=self._engine_priority() if self.job.route.has_prompt else None,
            last_event=last_event,
            kv_cache=self._kv_cache,
            fetch_from=self._source,
        )

    def _engine_priority(self) -> int:
        """Return the priority that is sent to an engine.

        A request that will be late wherever it runs loses nothing by being served a
        little later, and a long prompt delays all requests queued behind it. Such a
        request gets the lowest priority.
        """
        job = self.job
        waited = self._parts.clock.now() - job.started
        late = (
            self.expected is not None
            and waited + self.expected > job.route.objective > 0.0
        )
        if late and self._parts.config.late_last:
            return _LOWEST_PRIORITY
        return min(_LOWEST_PRIORITY, self.priority)

    async def send(
        self, member: Member, headers: list[tuple[str, str]]
    ) -> Exchange | NotSent | MayHaveRun:
        """Send to the chosen endpoint, and wait for the head of its answer."""
        job = self.job
        req = OutgoingRequest(
            job.req.request_id,
            job.traits,
            job.req.method,
            job.req.target,
            headers,
            job.body,
            job.at_most_once,
            job.route.objective,
            lambda: not self._is_too_late(),
        )
        self._forwarded, self._connection = False, ""
        result = await self._parts.paths.send(member, req)
        self._forwarded = result.forwarded
        if not isinstance(result.sent, NotSent | MayHaveRun):
            self._connection = result.sent.connection
        return result.sent

    def count_run(self, wall: float) -> None:
        """Count the request as started, once however often it is sent."""
        account = self.job.account
        if account is not None and not self._history.usage_counted:
            self._history.usage_counted = True
            self._parts.usage.record_start(account.name, wall)

    def read_notice(self, head: AnswerHead) -> None:
        """Apply what the endpoint reports of itself in an answer."""
        if self.sent is not None and self.member is not None:
            request_id = self.job.req.request_id
            self._parts.notices.read(self.member, head, request_id, self.sent.sent_at)

    def record_activity(self) -> None:
        """Record that the endpoint is alive."""
        if self.sent is not None and self.member is not None:
            self._parts.suspects.record_activity(self.member, self.sent.sent_at)
            if not self._forwarded:
                self._parts.links.record_reply(self.member, new_connection=False)

    def record_silence(self, since: float) -> None:
        """Record that nothing more came from the endpoint since a time."""
        if self.member is not None and not self._forwarded:
            self._parts.links.record_missing_reply(self.member, since)

    def record_answer(self, status: int) -> None:
        """Record a complete answer that goes to the client."""
        assert self.member is not None
        parts, endpoint_id = self._parts, self.member.endpoint_id
        now = parts.clock.now()
        parts.outliers.record_success(endpoint_id, now)
        parts.failure_rates.record_success(endpoint_id, now)
        if status >= 500:
            self._record_version_failure(self.member)
        else:
            self._record_version_answer()
        if status < 300:
            # Other statuses prove no run: a failing endpoint may answer before running.
            parts.suspects.record_success(self.job.traits)

    @asynccontextmanager
    async def limited(self, seconds: float) -> AsyncIterator[None]:
        """Raise TimeoutError after ``seconds``.

        Sooner once the request is quarantined, or this relay ends its answers.
        """
        assert self.member is not None
        parts, endpoint_id = self._parts, self.member.endpoint_id
        async with timeout(seconds) as limit:
            with (
                parts.suspects.track_run(self.job.traits, endpoint_id, limit),
                parts.stop.limit_send(limit),
            ):
                yield

    def timeout_outcome(self, detail: str, endpoint_fault: bool = True) -> MayHaveRun:
        """Return the outcome of a send whose `limited` time is over."""
        parts = self._parts
        if quarantined := parts.suspects.stopped_outcome(self.job.traits):
            return quarantined
        if stopped := parts.stop.stopped_outcome():
            return stopped
        return MayHaveRun(ErrorKind.ENDPOINT_STALLED, detail, endpoint_fault)

    async def read_all(self, exchange: Exchange) -> bytes:
        """Return the complete body; raises as `Exchange.read_some`, or if too large."""
        body = bytearray()
        with self._parts.answer_memory.hold(self.job.hold_answer) as held:
            while data := await exchange.read_some():
                body += data
                held.resize(len(body))
        return bytes(body)

    def is_close_delimited(self, exchange: Exchange) -> bool:
        """Return whether an answer's body ends only with its connection."""
        method = self.job.req.method
        return is_close_delimited(method, exchange.status, exchange.headers)

    async def truncation(
        self,
        exchange: Exchange,
        close_delimited: bool,
        received: int,
        missing: str | None,
    ) -> str | None:
        """Return why an answer that has ended is incomplete, or None if it isn't.

        The arguments are as in `EndedAnswer`.
        """
        assert self.member is not None
        answer = EndedAnswer(
            self.job.req.request_id,
            self.member,
            close_delimited,
            received,
            missing,
            self._forwarded,
        )
        return await self._parts.answer_ends.truncation(exchange, answer)

    def record_first_event(self) -> None:
        """Record the first event or the answer."""
        self._record_version_answer()
        self.reserve.release()
        if self.sent is not None:
            self.sent = self._parts.selector.record_first_event(
                self.sent, self._parts.clock.now()
            )

    def _return_reserved(self) -> None:
        if self._reserved:
            self._reserved = False
            self._parts.retries.refund(self.job.service)

    def record_end(self) -> None:
        """Record that the send has ended."""
        self._return_reserved()
        if self._expected_answer:
            self._parts.split.record_end(self._expected_answer, self._parts.clock.now())
        if self.sent is not None:
            self._record_capacity(self.sent.sent_at)
            self._parts.selector.record_end(self.sent)
            self.sent = None

    def mark_answered(self) -> None:
        """Note that the current send got a complete answer of a status below 500."""
        self._answered = True

    def _record_capacity(self, sent_at: float) -> None:
        """Record the end of a send to an endpoint whose capacity is learned."""
        capacity, process = self._parts.plain_capacity, self._counted_by
        if capacity is None or process is None:
            return
        self._counted_by = None
        now = self._parts.clock.now()
        if self._answered:
            capacity.record_answer(process, sent_at, now)
        else:
            capacity.record_lost(process, sent_at, now)

    def beside(self, silence: MayHaveRun, delivered: bool = False) -> "JobSends":
        """Return sends that may begin while the current one is still awaited.

        ``silence`` would be its outcome if it were given up, ``delivered`` is as in
        `check_resend`. Raises the error if no other send is allowed.
        """
        self._return_reserved()
        self.check_resend(silence, delivered)
        return JobSends(self._parts, self.job, self._history)

    def record_overtaken(self) -> None:
        """Record that the silent run is closed as another endpoint goes on.

        If that one breaks, the stream may be resumed where the run was: the route
        limits the endpoints that get a request, and this one is among them.
        """
        assert self.member is not None
        self._history.overtaken.add(self.member.endpoint_id)

    def check_resend(self, outcome: Outcome, delivered: bool = False) -> None:
        """Return if another send is allowed after ``outcome``; else raise the error.

        ``delivered`` says that a part of a stream reached the client.
        """
        parts, job = self._parts, self.job
        assert self.member is not None
        endpoint = self.member.endpoint_id
        self.proof.record(outcome)
        self._history.avoid.add(endpoint)
        now = parts.clock.now()
        error = _error_of(outcome)
        match outcome:
            case MayHaveRun(kind=ErrorKind.ENDPOINT_FAILED) if not self._forwarded:
                parts.crashes.connection_broken(self.member, job.traits)
        match outcome:
            case (
                NotSent() | ProvedNotRun() | MayHaveRun(kind=ErrorKind.INSTANCE_STOPPED)
            ):
                # A full queue or a broken link says nothing about the version.
                self._cancel_expected_answer()
            case MayHaveRun() | Answered():
                self._record_version_failure(self.member)
        if self._still_listed(self.member) and _may_blame_endpoint(outcome):
            self._record_endpoint_failure(endpoint, error.kind, now)
        self._reset_avoided()
        final_error = self._resend_error(outcome, error, delivered, now)
        logger.info(
            "Send failed.",
            request=job.req.request_id,
            digest=job.traits.digest,
            endpoint=endpoint,
            outcome=type(outcome).__name__,
            kind=str(error.kind),
            detail=error.detail,
            tries=self._history.sends,
            again=final_error is None,
            links=str(parts.links.state(job.service)),
            forwarded=self._forwarded,
            connection=self._connection,
        )
        if final_error is not None:
            raise self.proof.final_error(final_error)
        parts.metrics.count_retry(self.resend_reason or _reason_of(outcome))

    def _record_endpoint_failure(
        self, endpoint_id: str, kind: ErrorKind, now: float
    ) -> None:
        """Count a failure against an endpoint, unless this relay's links are lost."""
        parts = self._parts

        def record() -> None:
            parts.outliers.record_failure(endpoint_id, kind, now)
            parts.failure_rates.record_failure(endpoint_id, kind, now)

        if self._forwarded:
            record()
        else:
            parts.links.call_if_up(self.job.service, record)

    def _still_listed(self, member: Member) -> bool:
        """Return whether an endpoint hasn't restarted since it was chosen."""
        listed = self._parts.view.members.get(member.endpoint_id)
        return listed is None or listed.incarnation == member.incarnation

    def _reset_avoided(self) -> None:
        """Allow avoided endpoints again if no other is available."""
        parts, now = self._parts, self._parts.clock.now()
        if not any(
            member.endpoint_id not in self._history.avoid
            and self.chooser.may_serve(member)
            and parts.permits.wait(member, now) <= 0.0
            for member in parts.view.of_service(self.job.service)
        ):
            self._history.avoid.clear()

    def _refuse_rejected(self) -> EbonydealError | None:
        """Return SHED if a rejected request should not be sent on, else None.

        One that may have run is sent on as far as its budget goes, since its refusal
        could not say that it has not run.
        """
        if not self._history.refusal.enabled or self.proof.may_have_run:
            return None
        assert self.member is not None
        return self._history.refusal.after_rejection(
            self.member, self.expected_answer_s, self._history.avoid
        )

    def _resend_error(
        self, outcome: Outcome, error: EbonydealError, delivered: bool, now: float
    ) -> EbonydealError | None:
        """Return None to resend, or the error to give up with."""
        job = self.job
        assert self.member is not None
        endpoint_id = self.member.endpoint_id
        self.lacks_budget = False
        if not self.proof.may_send:
            # Even if this send never left the process: an earlier one may have run.
            return error
        match outcome:
            case MayHaveRun(kind=ErrorKind.INSTANCE_STOPPED):
                return error
            case NotSent() if self._is_too_late():
                return self._parts.stop.refusal()
            case NotSent():
                self._history.unsent += 1
                return error if self._history.unsent >= _MAX_UNSENT_SENDS else None
            case ProvedNotRun():
                if shed := self._refuse_rejected():
                    return shed
            case MayHaveRun() | Answered():
                self._history.possible_runs += not self._counted_run
                self._counted_run = True
                self._history.overtaken.discard(endpoint_id)
                is_last = self._history.possible_runs >= job.route.max_sends
                if is_last and not self._history.overtaken:
                    return error
        failure = Failure(
            kind=error.kind,
            deployment=job.service,
            idempotent=not job.at_most_once,
            may_have_run=self.proof.may_have_run,
            first_byte_received=delivered and job.at_most_once,
            deadline=job.deadline,
            is_paid=self.reserve.held,
        )
        match self._parts.retries.next_attempt(failure, self._history.sends, now):
            case GiveUp(kind=kind, retry_after=wait, reason=why) as give_up:
                self.lacks_budget = give_up.lacks_budget
                return EbonydealError(kind, f"{error.detail}; {why}", retry_after=wait)
        self.reserve.use()
        return None


def _may_blame_endpoint(outcome: Outcome) -> bool:
    """Return whether the endpoint, and not another relay, may have failed."""
    match outcome:
        case NotSent(endpoint_fault=False) | MayHaveRun(endpoint_fault=False):
            return False
    return True


def _reason_of(outcome: Outcome) -> RetryReason:
    """Return the reason of a send after ``outcome``, for the counters."""
    return _REASONS.get(_error_of(outcome).kind, RetryReason.ENDPOINT_FAILED)


def _deadline_exceeded() -> EbonydealError:
    return EbonydealError(ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed")


def _error_of(outcome: Outcome) -> EbonydealError:
    """Return the error for a send without a good answer."""
    match outcome:
        case NotSent(kind=kind, detail=detail):
            return EbonydealError(kind, detail)
        case ProvedNotRun(status=status):
            return EbonydealError(ErrorKind.ENDPOINT_REFUSED, f"status {status}")
        case MayHaveRun(kind=kind, detail=detail):
            return EbonydealError(kind, detail)
        case Answered(head=head):
            return EbonydealError(ErrorKind.ENDPOINT_FAILED, f"status {head.status}")
