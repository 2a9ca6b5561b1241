"""Refusal of plain requests that no endpoint is expected to answer in time."""

from collections.abc import Set
from math import inf
from typing import NoReturn

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.counters import Event
from ebonydeal._internal.relay.requests.endpoint_chooser import EndpointChooser
from ebonydeal._internal.relay.requests.job import Job, SendParts
from ebonydeal._internal.routing.admission.plain_refusal import (
    RefusalBound,
    Rejection,
    retry_after_if_full,
    retry_after_s,
)

# Expected times of plain answers are more accurate than those of streams' first events,
# for which the limit of 1.5 objectives was measured. Under overload the queue grows up
# to the limit, so with 1.5 objectives all answers would be late. This share of it is
# 0.9 objectives.
_PLAIN_LIMIT_SHARE = 0.6


class LoadRefusal:
    """Refuses one plain request by the expected times of its endpoints.

    It does nothing for streams, or where no capacity is learned.

    Parameters
    ----------
    parts : SendParts
        Learned capacity, and the limits.
    job : Job
        The request.
    chooser : EndpointChooser
        Its endpoints.
    priority : int
        0 is served first.
    """

    def __init__(
        self, parts: SendParts, job: Job, chooser: EndpointChooser, priority: int
    ) -> None:
        self._parts = parts
        self._job = job
        self._chooser = chooser
        self._priority = priority
        self._rejected_by: set[str] = set()

    @property
    def enabled(self) -> bool:
        """Whether the request may be refused."""
        return (
            self._job.req.prompt_tokens is None
            and self._parts.config.by_expectation
            and self._parts.plain_capacity is not None
        )

    def check(self, member: Member, avoid: Set[str], first: bool) -> None:
        """Raise SHED if no endpoint is expected to answer in time.

        A request that was rejected or could not be sent before is only refused if it
        can't be answered by its deadline. ``member`` is the endpoint that was chosen;
        the others are considered only if it is not expected to answer in time.
        """
        parts, now = self._parts, self._parts.clock.now()
        bound = self._bound(limited=first)
        expected = self._chooser.plain_expected_s(member, now)
        expected_of_all = self._chooser.service_expected_s()
        if expected_of_all > bound.longest_s:
            self._refuse("answer of the service", expected_of_all, bound)
        if expected is None or expected <= bound.longest_s:
            return
        service = self._job.service
        known = None if avoid else parts.plain_queues.last_refused_s(service, now)
        if known is None or known <= bound.longest_s:
            known = self._least_of_full(avoid, bound)
        if known is None:
            return
        self._refuse("answer", known, bound)

    def _refuse(self, what: str, expected_s: float, bound: RefusalBound) -> NoReturn:
        """Raise SHED."""
        wait = retry_after_s(expected_s, bound, self._parts.rng.random())
        self._parts.metrics.count(Event.PLAIN_SHED_BY_EXPECTATION)
        raise self._error(what, expected_s, bound, wait)

    def _least_of_full(self, avoid: Set[str], bound: RefusalBound) -> float | None:
        """Return the least expected time if it exceeds the bound, else None.

        None as well if an endpoint is free: a long time without a queue may be an
        estimate from times of overload, and without requests it would never be
        corrected.
        """
        parts, now = self._parts, self._parts.clock.now()
        least = self._chooser.least_expected_s(avoid)
        if least is None or least == inf or least <= bound.longest_s:
            return None
        too_late = least > bound.longest_in_time_s
        if self._chooser.has_free_endpoint(avoid, least, idle=too_late):
            return None
        if not avoid and not too_late:
            parts.plain_queues.record_refusal(self._job.service, least, now)
        return least

    def after_rejection(
        self, member: Member, expected_s: float | None, avoid: Set[str]
    ) -> EbonydealError | None:
        """Return SHED if a rejected request should not be sent on, else None.

        ``expected_s`` is the time that was expected at the endpoint ``member``.
        """
        parts = self._parts
        assert parts.plain_capacity is not None
        self._rejected_by.add(member.endpoint_id)
        estimate = parts.plain_capacity.estimate(member, parts.clock.now())
        service_s = None if estimate is None else estimate.service_s
        least = self._chooser.least_expected_s(avoid | self._rejected_by)
        bound = self._bound(limited=False)
        wait = retry_after_if_full(
            Rejection(expected_s, service_s), least, bound, parts.rng.random()
        )
        if wait is None:
            return None
        parts.metrics.count(Event.PLAIN_SHED_AFTER_REJECTION)
        what = f"rejected by {member.endpoint_id}; answer elsewhere"
        return self._error(what, least, bound, wait)

    def _bound(self, limited: bool) -> RefusalBound:
        job, parts = self._job, self._parts
        now = parts.clock.now()
        limit = inf
        if limited:
            limit = parts.refusal.limit_s(job.route.objective, self._priority)
            limit *= _PLAIN_LIMIT_SHARE
        return RefusalBound(limit, now - job.started, job.deadline - now)

    def _error(
        self, what: str, least: float | None, bound: RefusalBound, wait: float
    ) -> EbonydealError:
        expected = "at none" if least is None or least == inf else f"in {least:.3f} s"
        detail = (
            f"{what} expected {expected}, limit {bound.longest_s:.3f} s, "
            f"priority {self._priority}"
        )
        return EbonydealError(ErrorKind.SHED, detail, retry_after=wait)
