"""Announcements of endpoints' processes about themselves, as one relay knows them.

A limit holds from the answer that announces it until an answer without it. That answer
must be to a request sent after the limit was last announced, as answers may arrive out
of order. Reports of other relays count as well: the most recent one is used. When a
limit rises, the lower one stays in force for a while.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import EndpointProcess

# The lower limit stays in force for this long after a limit rose. The end of a limit is
# reported to other relays for this long.
_LIMIT_CHANGE_HOLD_S = 4.0
# Longest time that a report takes. The end of a limit that another relay reports counts
# as that much older, so that a limit announced meanwhile has precedence.
_MAX_REPORT_DELAY_S = 0.5
# A longer backoff is cut to this: one sent by mistake would exclude the endpoint for
# good.
_MAX_BACKOFF_S = 3600.0
# Relays report for this long that a process is leaving: after that the list of
# endpoints shows it, or the process has ended.
_LEAVING_REPORT_TTL_S = 30.0
# A process that sent no answer for this long may no longer be brittle.
_BRITTLE_TTL_S = 30.0
# Share of the rejections that a brittle process can bear which all relays together
# cause, and the shortest backoff of one relay after a rejection.
_REJECTIONS_SHARE = 0.5
_MIN_BRITTLE_BACKOFF_S = 1.0
_MIN_REJECTIONS_PER_S = 0.1
# Processes that are remembered; the least recently updated are evicted first.
_MAX_PROCESSES = 4000
_NEVER = float("-inf")


class LimitReport(NamedTuple):
    """A process's limit, as relays report it to each other.

    ``limit`` is in requests a second, None if it has ended; ``age`` is the time since
    the answer that announced it, seconds.
    """

    process: EndpointProcess
    limit: float | None
    age: float

    def encode(self) -> list:
        """Return the JSON representation."""
        return [*self.process, self.limit, round(self.age, 3)]

    @classmethod
    def decode(cls, message: list) -> "LimitReport":
        """Build from another relay's JSON; raises ValueError or TypeError."""
        endpoint_id, incarnation, limit, age = message
        return cls(
            EndpointProcess(str(endpoint_id), int(incarnation)),
            None if limit is None else max(0.0, float(limit)),
            max(0.0, float(age)),
        )


@dataclass
class _Limit:
    """A process's last known limit, its time, and whether this relay received it."""

    limit: float | None
    at: float
    own: bool
    # The lower limit before a rise, and until when it stays in force.
    lower: float = 0.0
    lower_until: float = _NEVER


class EndpointNotices:
    """What all processes of endpoints announced."""

    def __init__(self) -> None:
        self._limits: dict[EndpointProcess, _Limit] = {}
        # Until when a process wants no requests from this relay.
        self._backoff_until: dict[EndpointProcess, float] = {}
        # When a process announced that it is leaving.
        self._leaving: dict[EndpointProcess, float] = {}
        # The rejections a second that a process can bear, and when it said so last.
        self._brittle: dict[EndpointProcess, tuple[float, float]] = {}
        # Called with each process that announces that it is leaving.
        self.on_leaving: Callable[[EndpointProcess], None] = lambda _process: None

    # --- backoff -------------------------------------------------------------
    def note_backoff(
        self, process: EndpointProcess, seconds: float, now: float
    ) -> bool:
        """Note for how long a process wants no requests; return whether it extends."""
        until = now + min(seconds, _MAX_BACKOFF_S)
        if until <= self._backoff_until.get(process, now):
            return False
        self._backoff_until = {p: t for p, t in self._backoff_until.items() if t > now}
        self._backoff_until[process] = until
        return True

    def backoff_remaining(self, process: EndpointProcess, now: float) -> float:
        """Return the seconds for which a process still wants no requests."""
        return max(0.0, self._backoff_until.get(process, now) - now)

    # --- brittle processes ---------------------------------------------------
    def note_brittle(
        self, process: EndpointProcess, max_rejections: float | None, now: float
    ) -> bool:
        """Note how many rejections a second a process can bear; None for any number.

        Returns whether that has changed.
        """
        known = self._brittle.pop(process, None)
        if max_rejections is not None:
            self._brittle[process] = (max_rejections, now)
            while len(self._brittle) > _MAX_PROCESSES:
                del self._brittle[next(iter(self._brittle))]
        return max_rejections != (None if known is None else known[0])

    def is_brittle(self, process: EndpointProcess, now: float) -> bool:
        """Return whether a process fails if it has to reject many requests."""
        known = self._brittle.get(process)
        return known is not None and now - known[1] <= _BRITTLE_TTL_S

    def backoff_after_rejection(
        self, process: EndpointProcess, relays: int, now: float
    ) -> float:
        """Return the seconds for which one of so many relays should back off.

        If each does so after a rejection, they cause fewer than the process can bear.
        """
        if not self.is_brittle(process, now):
            return 0.0
        bearable = max(_MIN_REJECTIONS_PER_S, self._brittle[process][0])
        return max(_MIN_BRITTLE_BACKOFF_S, relays / (bearable * _REJECTIONS_SHARE))

    # --- leaving -------------------------------------------------------------
    def note_leaving(self, process: EndpointProcess, at: float) -> bool:
        """Note that a process is leaving; return whether that is new.

        The announcement is final: a process that isn't stopped after all must restart.
        """
        if process in self._leaving:
            return False
        self._leaving[process] = at
        while len(self._leaving) > _MAX_PROCESSES:
            del self._leaving[next(iter(self._leaving))]
        self.on_leaving(process)
        return True

    def leaving_since(self, process: EndpointProcess) -> float | None:
        """Return when a process announced that it is leaving; None if it didn't."""
        return self._leaving.get(process)

    def leaving_reports(self, now: float) -> list[list]:
        """Return the reports for other relays: id, incarnation and age in seconds."""
        return [
            [*process, round(now - at, 3)]
            for process, at in self._leaving.items()
            if now - at <= _LEAVING_REPORT_TTL_S
        ]

    def merge_leaving(
        self, messages: Iterable[list], now: float
    ) -> list[EndpointProcess]:
        """Merge another relay's reports; return the processes that are new."""
        new = []
        for endpoint_id, incarnation, age in messages:
            process = EndpointProcess(str(endpoint_id), int(incarnation))
            if self.note_leaving(process, now - max(0.0, float(age))):
                new.append(process)
        return new

    # --- limits --------------------------------------------------------------
    def note_limit(
        self, process: EndpointProcess, limit: float | None, sent_at: float, now: float
    ) -> bool:
        """Note the limit in an answer; return whether the known limit changed.

        ``limit`` is None if the answer announces none; ``sent_at`` is when the request
        was sent.
        """
        known = self._limits.get(process)
        if limit is None and known is None:
            return False
        at = sent_at if limit is None else now
        return self._update(process, limit, at, True, now)

    def merge_limit(self, report: LimitReport, now: float) -> bool:
        """Merge another relay's report; return whether the known limit changed."""
        at = now - report.age
        if report.limit is None:
            at -= _MAX_REPORT_DELAY_S
        return self._update(report.process, report.limit, at, False, now)

    def _update(
        self,
        process: EndpointProcess,
        limit: float | None,
        at: float,
        own: bool,
        now: float,
    ) -> bool:
        known = self._limits.get(process)
        if known is None:
            self._limits[process] = _Limit(limit, at, own)
            self._evict_oldest()
            return limit is not None
        if at < known.at:
            return False
        if known.own and not own and limit == known.limit:
            if at < known.at + _MAX_REPORT_DELAY_S:
                # It may be this relay's own report, sent back.
                return False
        changed = limit != known.limit
        if known.limit is not None and limit is not None and limit > known.limit:
            lower = self.limit(process, now)
            known.lower = known.limit if lower is None else lower
            known.lower_until = now + _LIMIT_CHANGE_HOLD_S
        known.limit, known.at, known.own = limit, at, own
        return changed

    def _evict_oldest(self) -> None:
        while len(self._limits) > _MAX_PROCESSES:
            del self._limits[min(self._limits, key=lambda p: self._limits[p].at)]

    @property
    def has_any(self) -> bool:
        """Whether any process may have a limit or a backoff, or be brittle."""
        return bool(self._limits or self._backoff_until or self._brittle)

    def accepts_migrated_streams(self, process: EndpointProcess, now: float) -> bool:
        """Return whether streams may be moved to a process without a permit."""
        return self.limit(process, now) is None and not self.backoff_remaining(
            process, now
        )

    def limit(self, process: EndpointProcess, now: float) -> float | None:
        """Return the limit of a process, requests a second; None if it has none."""
        known = self._limits.get(process)
        if known is None or known.limit is None:
            return None
        if now < known.lower_until:
            return min(known.limit, known.lower)
        return known.limit

    def active_limits(self, now: float) -> dict[EndpointProcess, float]:
        """Return the limits of all processes that have one."""
        limits = {process: self.limit(process, now) for process in self._limits}
        return {p: limit for p, limit in limits.items() if limit is not None}

    def limit_report(self, process: EndpointProcess, now: float) -> LimitReport | None:
        """Return the report of a process's limit, None if none is known."""
        known = self._limits.get(process)
        if known is None:
            return None
        return LimitReport(process, known.limit, now - known.at)

    def limit_reports(self, now: float, own: bool = False) -> list[LimitReport]:
        """Return the reports for other relays; with ``own`` only this relay's own.

        Only the coordinator forwards what others reported: otherwise it would seem
        newer with each hop.
        """
        return [
            LimitReport(process, known.limit, now - known.at)
            for process, known in self._limits.items()
            if (known.own or not own)
            and (known.limit is not None or now - known.at <= _LIMIT_CHANGE_HOLD_S)
        ]

    def merge_limits(self, messages: Iterable[list], now: float) -> list[LimitReport]:
        """Merge another relay's reports; return those that changed a known limit."""
        reports = [LimitReport.decode(message) for message in messages]
        return [report for report in reports if self.merge_limit(report, now)]
