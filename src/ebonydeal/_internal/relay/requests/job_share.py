"""One job's part in its client account's share of a short service."""

from ebonydeal._internal.relay.limits.request_work import RequestSize
from ebonydeal._internal.relay.limits.share_gate import ReturnInfo, ShareGate
from ebonydeal._internal.relay.requests.job import Job
from ebonydeal._internal.routing.admission.share_buckets import ShareRequest


class JobShare:
    """Counts a job's work once, and takes its cost once from the account's share.

    Parameters
    ----------
    gate : ShareGate or None
        None where shares are off.
    job : Job
        The request.
    """

    def __init__(self, gate: ShareGate | None, job: Job) -> None:
        self._gate = gate
        self._job = job
        self._is_offered = False
        self._request: ShareRequest | None = None

    def offer(self, uncached_tokens: float, priority: int) -> None:
        """Count the work of a request that would be sent now."""
        if self._gate is None or self._is_offered:
            return
        self._is_offered = True
        job = self._job
        output_tokens = job.req.length_hint or job.req.output_tokens
        self._request = self._gate.offer(
            job.service,
            "" if job.account is None else job.account.name,
            RequestSize(uncached_tokens, output_tokens),
            priority,
            job.route.objective,
        )

    def admit(self, time_left: float) -> None:
        """Take the cost before the first send; raises SHED beyond the share.

        ``time_left`` is the time until the request's deadline, seconds.
        """
        if self._gate is None or self._request is None:
            return
        request, self._request = self._request, None
        job = self._job
        info = ReturnInfo(job.traits.digest, job.req.retry_ticket, time_left)
        self._gate.admit(request, info)
