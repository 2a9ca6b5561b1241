"""What each process of an endpoint said of itself, at one relay.

A limit holds from the answer that names it until an answer without it, to a request
that was sent after the limit was last heard of: an answer may be older than it looks.
What other relays report counts as well: the latest, by when it was heard, is taken, and
of a limit that rises the lower one holds on for a while.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ebonydeal._internal.models.forwarding import EndpointProcess

# For so long after a limit rose, or ended, the one before is told to others, or holds.
_WINDOW_S = 4.0
# A report takes so long at most. The end of a limit that another relay reports counts
# as that much older: one named meanwhile goes before it.
_TOLD_WITHIN_S = 0.5
# A longer rest counts as this: one by mistake would take the endpoint out for good.
_MOST_REST_S = 3600.0
# For so long relays report that a process said that it leaves: by then the list has
# it, or the process is gone.
_LEAVING_TOLD_S = 30.0
# Processes that are remembered, those that were heard of longest ago go first.
_MOST_KNOWN = 4000
_NEVER = float("-inf")


class LimitReport(NamedTuple):
    """What a process said of its limit, as relays report it to each other.

    ``limit`` is in requests a second, None for none any more; ``age`` are the seconds
    since it was heard.
    """

    process: EndpointProcess
    limit: float | None
    age: float

    def encode(self) -> list:
        """Return it as JSON has it."""
        return [*self.process, self.limit, round(self.age, 3)]

    @classmethod
    def decode(cls, message: list) -> "LimitReport":
        """Build from another relay's JSON; raises ValueError or TypeError."""
        endpoint_id, born, limit, age = message
        return cls(
            EndpointProcess(str(endpoint_id), int(born)),
            None if limit is None else max(0.0, float(limit)),
            max(0.0, float(age)),
        )


@dataclass
class _Limit:
    """A process's limit as last heard, when that was, and whether by this relay."""

    limit: float | None
    at: float
    own: bool
    # A lower limit, in force for a while after it rose.
    before: float = 0.0
    before_until: float = _NEVER


class EndpointNotices:
    """What is known of all processes."""

    def __init__(self) -> None:
        self._limits: dict[EndpointProcess, _Limit] = {}
        # Until when a process wants nothing from this relay.
        self._rest: dict[EndpointProcess, float] = {}
        # Since when a process says that it leaves.
        self._leaving: dict[EndpointProcess, float] = {}
        # Told which process leaves.
        self.on_leaving: Callable[[EndpointProcess], None] = lambda _process: None

    # --- rest ----------------------------------------------------------------
    def heard_rest(self, process: EndpointProcess, seconds: float, now: float) -> bool:
        """Take for how long a process wants nothing; return if that is longer."""
        until = now + min(seconds, _MOST_REST_S)
        if until <= self._rest.get(process, now):
            return False
        self._rest = {p: at for p, at in self._rest.items() if at > now}
        self._rest[process] = until
        return True

    def rest(self, process: EndpointProcess, now: float) -> float:
        """Return the seconds for which a process still wants nothing."""
        return max(0.0, self._rest.get(process, now) - now)

    # --- leaving -------------------------------------------------------------
    def heard_leaving(self, process: EndpointProcess, at: float) -> bool:
        """Note that a process says that it leaves; return if that is news.

        It doesn't come back: a process that stays after all starts anew.
        """
        if process in self._leaving:
            return False
        self._leaving[process] = at
        while len(self._leaving) > _MOST_KNOWN:
            del self._leaving[next(iter(self._leaving))]
        self.on_leaving(process)
        return True

    def leaving_since(self, process: EndpointProcess) -> float | None:
        """Return when a process said that it leaves; None if it didn't."""
        return self._leaving.get(process)

    def leaving_reports(self, now: float) -> list[list]:
        """Return what other relays are told, by id, start and seconds since then."""
        return [
            [*process, round(now - at, 3)]
            for process, at in self._leaving.items()
            if now - at <= _LEAVING_TOLD_S
        ]

    def take_leaving(
        self, messages: Iterable[list], now: float
    ) -> list[EndpointProcess]:
        """Take what another relay heard; return what is news."""
        news = []
        for endpoint_id, born, age in messages:
            process = EndpointProcess(str(endpoint_id), int(born))
            if self.heard_leaving(process, now - max(0.0, float(age))):
                news.append(process)
        return news

    # --- limits --------------------------------------------------------------
    def heard_limit(
        self, process: EndpointProcess, limit: float | None, sent_at: float, now: float
    ) -> bool:
        """Take an answer to what was sent at ``sent_at``; return if that is news.

        ``limit`` is what the answer names, None for none.
        """
        known = self._limits.get(process)
        if limit is None and known is None:
            return False
        at = sent_at if limit is None else now
        return self._take(process, limit, at, True, now)

    def take_limit(self, report: LimitReport, now: float) -> bool:
        """Take what another relay heard; return if that is news."""
        at = now - report.age
        if report.limit is None:
            at -= _TOLD_WITHIN_S
        return self._take(report.process, report.limit, at, False, now)

    def _take(
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
            self._drop_oldest()
            return limit is not None
        if at < known.at:
            return False
        if known.own and not own and limit == known.limit:
            if at < known.at + _TOLD_WITHIN_S:
                # It may be this relay's own report, sent back.
                return False
        changes = limit != known.limit
        if known.limit is not None and limit is not None and limit > known.limit:
            lower = self.limit(process, now)
            known.before = known.limit if lower is None else lower
            known.before_until = now + _WINDOW_S
        known.limit, known.at, known.own = limit, at, own
        return changes

    def _drop_oldest(self) -> None:
        while len(self._limits) > _MOST_KNOWN:
            del self._limits[min(self._limits, key=lambda p: self._limits[p].at)]

    @property
    def any(self) -> bool:
        """Whether any process may have a limit, or rest."""
        return bool(self._limits or self._rest)

    def takes_runs(self, process: EndpointProcess, now: float) -> bool:
        """Return whether runs may be moved to a process without asking."""
        return self.limit(process, now) is None and not self.rest(process, now)

    def limit(self, process: EndpointProcess, now: float) -> float | None:
        """Return the limit of a process, requests a second; None for none."""
        known = self._limits.get(process)
        if known is None or known.limit is None:
            return None
        if now < known.before_until:
            return min(known.limit, known.before)
        return known.limit

    def limited(self, now: float) -> dict[EndpointProcess, float]:
        """Return all processes that have a limit."""
        limits = {process: self.limit(process, now) for process in self._limits}
        return {p: limit for p, limit in limits.items() if limit is not None}

    def limit_report(self, process: EndpointProcess, now: float) -> LimitReport | None:
        """Return what is known of a process's limit."""
        known = self._limits.get(process)
        if known is None:
            return None
        return LimitReport(process, known.limit, now - known.at)

    def limit_reports(self, now: float, own: bool = False) -> list[LimitReport]:
        """Return what other relays are told; with ``own`` what was heard here alone.

        What others told is told on by the coordinator only: else it would seem newer
        each time.
        """
        return [
            LimitReport(process, known.limit, now - known.at)
            for process, known in self._limits.items()
            if (known.own or not own)
            and (known.limit is not None or now - known.at <= _WINDOW_S)
        ]

    def take_limits(self, messages: Iterable[list], now: float) -> list[LimitReport]:
        """Take what another relay reports; return what is news."""
        reports = [LimitReport.decode(message) for message in messages]
        return [report for report in reports if self.take_limit(report, now)]
