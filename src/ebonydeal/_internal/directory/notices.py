"""Conversion of the cloud's notices, which name no incarnation, to leaving marks."""

from collections.abc import Iterable

from ebonydeal._internal.directory.table import EndpointTable
from ebonydeal._internal.models.endpoints import LeavingMark
from ebonydeal._internal.outside.interfaces import ReclaimNotice

MARK_SOURCE = "cloud"
MAX_PENDING_NOTICES = 10_000


class NoticeResolver:
    """Converts notices to marks; holds those whose endpoint isn't listed yet.

    Parameters
    ----------
    list_lag : float
        Seconds by which the instance list may lag. A notice whose deadline passed
        longer ago concerns an instance that is gone, so it doesn't mark what the
        list shows now.
    """

    def __init__(self, list_lag: float) -> None:
        self._list_lag = list_lag
        self._pending: dict[str, tuple[ReclaimNotice, float]] = {}
        self.last_seq = 0

    def __len__(self) -> int:
        """Return the number of pending notices."""
        return len(self._pending)

    def receive(
        self, notices: Iterable[ReclaimNotice], table: EndpointTable, now: float
    ) -> list[LeavingMark]:
        """Return the marks for new notices, and for pending ones now listed."""
        marks = []
        for notice in notices:
            self.last_seq = max(self.last_seq, notice.seq)
            if self._is_past(notice, now):
                continue
            if not notice.instance_id:
                at = min(now, notice.deadline or now)
                mark = LeavingMark("", 0, notice.zone, notice.deadline, MARK_SOURCE, at)
                marks.append(mark)
            elif len(self._pending) < MAX_PENDING_NOTICES:
                self._pending[notice.instance_id] = (notice, now)
        return marks + self.resolve(table, now)

    def resolve(self, table: EndpointTable, now: float) -> list[LeavingMark]:
        """Return marks for pending notices whose endpoint is listed now."""
        marks = []
        for instance_id, (notice, at) in list(self._pending.items()):
            view = table.get(instance_id)
            if view is not None:
                marks.append(
                    LeavingMark(
                        instance_id,
                        view.incarnation,
                        "",
                        notice.deadline,
                        MARK_SOURCE,
                        at,
                    )
                )
            if view is not None or now > max(at, notice.deadline) + self._list_lag:
                del self._pending[instance_id]
        return marks

    def _is_past(self, notice: ReclaimNotice, now: float) -> bool:
        return 0.0 < notice.deadline < now - self._list_lag
