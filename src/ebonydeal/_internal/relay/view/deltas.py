"""Changes of the list of endpoints, pushed by the coordinator to all relays.

Only the coordinator polls the store, so each change costs one poll instead of one for
every relay. Deltas are pushed immediately. A relay that missed one gets it with the
next reply to a report, and a relay without a coordinator that is up to date with the
store polls the store itself.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.peers.messages import ViewDelta
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.news")

DELTA = "/relay/v1/news"
CALL_TIMEOUT_S = 0.4
# Changes come in bursts: those within this interval are pushed together. It grows with
# the relays, since each batch is a call to all: with 87 of them and batches of 0.05 s,
# the calls of a reclaim burst filled the coordinator's link of 5 Mbit/s. The maximum
# interval is a tenth of the minimum time after which a leaving endpoint must get no
# new requests.
_MIN_BATCH_INTERVAL_S = 0.05
_BATCH_INTERVAL_S_PER_RELAY = 0.0025
_MAX_BATCH_INTERVAL_S = 0.2
# The mark before the first delta: no coordinator has this fencing token.
NO_MARK = (0, 0)


def delta_since(
    view: RelayView, mark: list[int], fence: int, now: float
) -> ViewDelta | None:
    """Return the changes since ``mark``, if any; a snapshot if they are unknown."""
    changed = view.changed_since(mark[1]) if mark[0] == fence else None
    if changed == []:
        return None
    is_snapshot = changed is None
    ids = list(view.members) if changed is None else changed
    ages = {i: view.leaving_age(i, now) for i in ids}
    return ViewDelta(
        config=view.version,
        mark=[fence, view.changes],
        version=view.members_version,
        put=[list(m) for i in ids if (m := view.listing_for_peers(i, now)) is not None],
        gone=[[i, view.removed_at(i)] for i in ids if i not in view.members],
        whole=is_snapshot,
        ages={i: round(age, 3) for i, age in ages.items() if age is not None},
        missing=missing_message(view, ids, now),
    )


def missing_message(
    view: RelayView, endpoint_ids: Iterable[str], now: float
) -> dict[str, list]:
    """Return the missing entries among these endpoints' as other relays get them."""
    entries = {i: view.missing(i) for i in endpoint_ids}
    return {
        endpoint_id: [entry.version, round(max(0.0, entry.until - now), 3)]
        for endpoint_id, entry in entries.items()
        if entry is not None
    }


def apply_missing(view: RelayView, message: dict[str, list], now: float) -> None:
    """Apply another relay's `missing_message`."""
    for endpoint_id, (version, left) in message.items():
        view.mark_missing(str(endpoint_id), int(version), now + float(left))


def _config_only_delta(view: RelayView, mark: list[int]) -> ViewDelta:
    """Return a delta without endpoints, for a relay with the mark ``mark``."""
    return ViewDelta(
        config=view.version,
        mark=list(mark),
        version=0,
        put=[],
        gone=[],
        whole=False,
        ages={},
        missing={},
    )


def batch_interval(relays: int) -> float:
    """Return the seconds within which changes are batched for so many relays."""
    return min(
        _MAX_BATCH_INTERVAL_S,
        max(_MIN_BATCH_INTERVAL_S, relays * _BATCH_INTERVAL_S_PER_RELAY),
    )


class DeltaReceiver:
    """Applies deltas to this relay's view, and remembers the last mark."""

    def __init__(self, view: RelayView, clock: Clock) -> None:
        self._view = view
        self._clock = clock
        # Called with the version when the coordinator has a newer configuration.
        self.on_newer_config: Callable[[int], None] = lambda _version: None
        self.last_mark: tuple[int, int] = NO_MARK

    def receive(self, delta: ViewDelta) -> dict[str, Any]:
        """Apply a delta; those of an older coordinator are ignored."""
        # A coordinator of the previous release doesn't send it.
        config = int(delta.get("config", -1))
        if config > self._view.version:
            self.on_newer_config(config)
        mark = (int(delta["mark"][0]), int(delta["mark"][1]))
        if mark <= self.last_mark:
            return {}
        if not delta["whole"] and mark[0] != self.last_mark[0]:
            # Changes since an unknown state: the next reply brings a snapshot.
            return {}
        view, now = self._view, self._clock.now()
        members = [Member(*item) for item in delta["put"]]
        for member in members:
            # The time at which the coordinator learned of it: the report's age counts
            # from then, even if the delta comes late.
            age = delta["ages"].get(member.endpoint_id)
            view.put(member, None if age is None else now - age)
            if member.leaves_in is not None:
                view.set_leave_time(member.endpoint_id, now + member.leaves_in)
        if delta["whole"] and delta["version"] >= view.members_version:
            view.replace(members, delta["version"])
        # A coordinator of the previous release sends none.
        apply_missing(view, delta.get("missing", {}), now)
        for endpoint_id, version in delta["gone"]:
            view.remove(str(endpoint_id), int(version))
        view.members_version = max(view.members_version, int(delta["version"]))
        self.last_mark = mark
        logger.info(
            "Endpoints told.",
            fence=mark[0],
            version=view.members_version,
            listed=len(members),
            leaving=sum(member.leaving for member in members),
            gone=len(delta["gone"]),
        )
        return {}


class DeltaPublisher(SupervisedService):
    """Pushes deltas to all relays while this one is the coordinator.

    Parameters
    ----------
    view : RelayView
        The view whose changes are pushed.
    client : PeerClient
        Calls to relays.
    clock : Clock
        Time.
    targets : callable
        Returns the relays' addresses with their last marks, and our fencing token; None
        where this relay isn't the coordinator.
    """

    def __init__(
        self,
        view: RelayView,
        client: PeerClient,
        clock: Clock,
        targets: Callable[[], tuple[dict[str, list[int]], int] | None],
    ) -> None:
        super().__init__()
        self._view = view
        self._client = client
        self._clock = clock
        self._targets = targets
        self._pushed_changes = 0
        self._pushed_config = -1
        self._target_count = 0

    @supervised_task
    async def _push(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(batch_interval(self._target_count))
            changed = self._view.changes != self._pushed_changes
            newer_config = self._view.version != self._pushed_config
            if not changed and not newer_config:
                continue
            self._pushed_changes, self._pushed_config = (
                self._view.changes,
                self._view.version,
            )
            targets = self._targets()
            if targets is None:
                continue
            marks, fence = targets
            self._target_count = len(marks)
            await asyncio.gather(
                *(
                    self._push_to(a, mark, fence, newer_config)
                    for a, mark in marks.items()
                )
            )

    async def _push_to(
        self, address: str, mark: list[int], fence: int, newer_config: bool
    ) -> None:
        """Push to one relay what it lacks; after a failure its next report gets it.

        ``newer_config`` says that the configuration is newer than at the last push.
        """
        delta = delta_since(self._view, mark, fence, self._clock.now())
        if delta is None and newer_config:
            delta = _config_only_delta(self._view, mark)
        if delta is None:
            return
        try:
            await self._client.call(address, DELTA, delta, CALL_TIMEOUT_S)
        except EbonydealError as exc:
            logger.info("News not told.", peer=address, reason=str(exc))
            return
        mark[:] = delta["mark"]
