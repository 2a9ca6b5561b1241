"""Fetches from other relays what this one can't get from the store."""

import asyncio
from base64 import b64decode
from collections.abc import Callable
from random import Random
from typing import Any
from zlib import decompress
from zlib import error as BadCompression

from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.forwarding import Member
from ebonydeal._internal.models.shared import SharedRow
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.relay.crashes.suspects import Suspects
from ebonydeal._internal.relay.peers.exchange import Exchange
from ebonydeal._internal.relay.peers.messages import VIEW, ViewMessage
from ebonydeal._internal.relay.peers.rollouts import RolloutReceiver
from ebonydeal._internal.relay.ports import Wire
from ebonydeal._internal.relay.view.deltas import apply_missing
from ebonydeal._internal.relay.view.follower import TableFollower
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.duties.coordinator_lease import LeaseRow
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.peerclient import PeerClient
from ebonydeal._internal.utils.supervised import SupervisedService, supervised_task

logger = get_logger("relay.view")

CALL_TIMEOUT_S = 0.5
# Usually this relay's own poll ends with the same change, shortly before or after.
OWN_POLL_DELAY_S = 0.1
_CHECK_INTERVAL_S = 0.4
# After an outage of the store of this length, other relays are asked instead.
_STORE_OUTAGE_TIMEOUT_S = 0.6
_DECODE_ERRORS = (EbonydealError, KeyError, TypeError, ValueError, BadCompression)


class ViewSync(SupervisedService):
    """Asks other relays for their view while the store doesn't answer this one.

    ``other_relays`` returns the addresses of the other known relays.
    """

    def __init__(
        self,
        exchange: Exchange,
        other_relays: Callable[[], list[str]],
        client: PeerClient,
        wire: Wire,
        view: RelayView,
        suspects: Suspects,
        rollouts: RolloutReceiver,
        followers: tuple[TableFollower, ...],
        clock: Clock,
        rng: Random,
    ) -> None:
        super().__init__()
        self._exchange = exchange
        self._other_relays = other_relays
        self._client = client
        self._wire = wire
        self._view = view
        self._suspects = suspects
        self._rollouts = rollouts
        self._followers = followers
        self._clock = clock
        self._rng = rng
        self.behind = False
        # The newest version of the configuration that another relay has.
        self._newest_config = -1
        self._config_requested = asyncio.Event()

    def request_config(self, version: int) -> None:
        """Fetch a configuration that another relay has, unless this one reads it."""
        self._newest_config = max(self._newest_config, version)
        self._config_requested.set()

    @supervised_task
    async def _fetch_config(self) -> None:
        while not self.should_stop:
            await self._config_requested.wait()
            self._config_requested.clear()
            await self._clock.sleep(OWN_POLL_DELAY_S)
            if self._view.version < self._newest_config:
                await self._sync(members=False, store_down=False)

    @supervised_task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(_CHECK_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            store_down = self._store_is_down()
            if self.behind or store_down:
                self.behind = False
                await self._sync(members=True, store_down=store_down)

    def _store_is_down(self) -> bool:
        now = self._clock.now()
        since = [f.failing_since for f in self._followers]
        return any(
            at is not None and now - at > _STORE_OUTAGE_TIMEOUT_S for at in since
        )

    async def _sync(self, members: bool, store_down: bool) -> None:
        """Ask the coordinator, or another relay if it doesn't reply, for their view.

        With ``members`` it includes the endpoints. With ``store_down`` both relays are
        asked, since either may know more.
        """
        for address in self._addresses():
            view = self._view
            since = view.members_version if members else None
            message = ViewMessage(
                config=view.version,
                members=since,
                crashes_mark=self._suspects.fingerprint,
            )
            try:
                reply = await self._client.call(address, VIEW, message, CALL_TIMEOUT_S)
            except EbonydealError as exc:
                logger.info("View not received.", peer=address, reason=str(exc))
                continue
            self._apply(reply, address)
            self._suspects.merge(reply.get("crashes"), address)
            if not store_down:
                return

    def _addresses(self) -> list[str]:
        """Return the coordinator's address and another relay's, without the own one."""
        coordinator = self._exchange.coordinator_address
        addresses = []
        if coordinator and not self._exchange.lease.is_mine:
            addresses.append(coordinator)
        others = [a for a in self._other_relays() if a not in addresses]
        if others:
            addresses.append(self._rng.choice(others))
        return addresses

    def _apply(self, reply: dict[str, Any], address: str) -> None:
        view = self._view
        try:
            if "config" in reply:
                raw = decompress(b64decode(reply["config"]))
                table = self._wire.table(SharedRow("", raw, 0))
                view.apply_table(table, raw, f"peer {address}")
            if "members" in reply and reply["version"] > view.members_version:
                members = [Member(*item) for item in reply["members"]]
                view.replace(members, reply["version"])
                apply_missing(view, reply.get("missing", {}), self._clock.now())
                logger.info(
                    "Endpoints received from a peer.", peer=address, count=len(members)
                )
            if "rollouts" in reply:
                self._rollouts.receive_verdicts(reply["rollouts"])
            if "lease" in reply:
                row, version = reply["lease"]
                self._exchange.lease.learn_holder(LeaseRow(*row), int(version))
        except _DECODE_ERRORS as exc:
            logger.error(
                "Peer's view can't be decoded.", peer=address, reason=repr(exc)
            )
