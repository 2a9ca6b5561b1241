"""Which plain endpoints have queues, by the latencies of this relay's last answers.

Before the concurrency of an endpoint is learned, it is the listed number of slots,
which may be many times too large. A sudden overload would fill the endpoint's queue for
as long as learning takes. Long latencies show the queue much earlier.
"""

# An answer that took this many service times waited in a queue. It doesn't show whether
# one request just needs more, so it decides only on endpoints with more requests in
# flight than they were seen to handle.
_QUEUE_RATIO = 1.5
# Queues of endpoints last some tenths of a second, and answers show them as late as
# they are long.
_EVIDENCE_TTL_S = 1.0
# Free capacity is noticed later by at most this time.
_REFUSAL_TTL_S = 0.01
# Endpoints remembered before those without recent answers are forgotten.
_MAX_ENDPOINTS = 256


class PlainQueues:
    """Remembers the latency of the last answer of each plain endpoint.

    And the least expected time of a service at the last refusal: far beyond the
    capacity nearly all requests are refused, and looking at all endpoints for each of
    them would take a small relay's whole time.
    """

    def __init__(self) -> None:
        self._latencies: dict[str, tuple[float, float]] = {}
        self._refusals: dict[str, tuple[float, float]] = {}

    def record_refusal(self, service: str, least_s: float, now: float) -> None:
        """Record that no endpoint was free, and the least expected time, seconds."""
        self._refusals[service] = (least_s, now)

    def last_refused_s(self, service: str, now: float) -> float | None:
        """Return the least expected time of a refusal just now, seconds, or None."""
        least_s, at = self._refusals.get(service, (0.0, 0.0))
        return least_s if 0.0 <= now - at <= _REFUSAL_TTL_S else None

    def record_answer(self, endpoint_id: str, latency_s: float, now: float) -> None:
        """Record a complete answer and its latency in seconds."""
        if len(self._latencies) >= _MAX_ENDPOINTS:
            self._retain_recent(now)
        self._latencies[endpoint_id] = (latency_s, now)

    def has_queue(self, endpoint_id: str, service_s: float, now: float) -> bool:
        """Return whether requests lately waited at an endpoint.

        ``service_s`` is the time that a request takes there without a queue, seconds.
        """
        latency_s, at = self._latencies.get(endpoint_id, (0.0, 0.0))
        return now - at <= _EVIDENCE_TTL_S and latency_s > service_s * _QUEUE_RATIO

    def _retain_recent(self, now: float) -> None:
        """Forget answers that are no evidence any more."""
        self._latencies = {
            endpoint_id: (latency_s, at)
            for endpoint_id, (latency_s, at) in self._latencies.items()
            if now - at <= _EVIDENCE_TTL_S
        }
