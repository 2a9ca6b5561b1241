"""A relay's word to the coordinator, and what it takes from the answer."""

from typing import NamedTuple

from ebonydeal._internal.relay.crashes.suspects import Suspects
from ebonydeal._internal.relay.limits.link import LimitsLink
from ebonydeal._internal.relay.peers.messages import ExchangeMessage, ExchangeReply
from ebonydeal._internal.relay.peers.rollouts import RolloutHearer
from ebonydeal._internal.relay.peers.roster import addresses_hash
from ebonydeal._internal.relay.requests.quota import QuotaLimiter
from ebonydeal._internal.relay.requests.usage import UsageMeter
from ebonydeal._internal.relay.view.news import NewsTaker
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.notices.notices import EndpointNotices
from ebonydeal._internal.routing.placement.endpoint_load import Told
from ebonydeal._internal.routing.placement.failure_shares import FailureShares
from ebonydeal._internal.routing.placement.member_choice import MemberChoice
from ebonydeal._internal.routing.rollout.split import Split
from ebonydeal._internal.utils.clock import Clock

# Less work than this of a service isn't told, endpoints kept busy.
_LEAST_WORK = 0.0005


class WordParts(NamedTuple):
    """Who speaks, and what it speaks of."""

    node: str
    incarnation: str
    usage: UsageMeter
    choice: MemberChoice
    quota: QuotaLimiter
    limits: LimitsLink
    failing: FailureShares
    suspects: Suspects
    split: Split
    rollouts: RolloutHearer
    notices: EndpointNotices
    news: NewsTaker
    view: RelayView
    clock: Clock


class RelayWord:
    """Builds the word, and takes the answer.

    Attributes
    ----------
    address : str
        Where other relays reach this one.
    leaving : bool
        Whether this relay stops.
    """

    def __init__(self, parts: WordParts, address: str) -> None:
        self._parts = parts
        self.address = address
        self.leaving = False
        self._reported = -1
        self._was_behind = False

    def tell(self, relays: list[str]) -> ExchangeMessage:
        """Return what the coordinator is told; ``relays`` are those known."""
        parts = self._parts
        now = parts.clock.now()
        return ExchangeMessage(
            node=parts.node,
            incarnation=parts.incarnation,
            address=self.address,
            known=addresses_hash(relays),
            wall=parts.clock.wall(),
            windows=parts.usage.to_message(self._reported + 1),
            loads={
                endpoint_id: [told.running, round(told.unread)]
                for endpoint_id, told in parts.choice.own().items()
            },
            demand=parts.quota.demand(now),
            work={
                name: round(value, 4)
                for name, value in parts.choice.work(now).items()
                if value >= _LEAST_WORK
            },
            answers=parts.failing.own(now),
            leaving=self.leaving,
            seen=list(parts.news.seen),
            crashes_mark=parts.suspects.mark,
            crashes=parts.suspects.word(),
            rollouts=parts.split.tallies(now),
            limits=parts.limits.word(),
            notices=[w.encode() for w in parts.notices.limit_reports(now, own=True)],
            said_leaving=parts.notices.leaving_reports(now),
        )

    def heard(self, reply: ExchangeReply, asked_at: float) -> bool:
        """Take the answer to what was told at ``asked_at``.

        Returns whether this relay's view is behind.
        """
        parts = self._parts
        now = parts.clock.now()
        if reply["news"] is not None:
            parts.news.take(reply["news"])
        self._reported = max(self._reported, reply["reported"])
        parts.choice.told(
            {
                endpoint_id: Told(int(load[0]), float(load[1]), now)
                for endpoint_id, load in reply["loads"].items()
            }
        )
        parts.failing.told(reply.get("answers", {}), now)
        # A coordinator of the release before doesn't tell of shares and crashes.
        if "limits" in reply:
            parts.limits.heard(reply["limits"], asked_at)
        else:
            parts.limits.heard_before_shares(reply["grants"], asked_at)
        mark, crashes = reply.get("crashes_mark", ""), reply.get("crashes")
        parts.suspects.heard_from(mark, crashes, "coordinator")
        parts.notices.take_limits(reply.get("notices", []), asked_at)
        parts.notices.take_leaving(reply.get("said_leaving", []), asked_at)
        behind = reply["members"] > parts.view.last_change
        rollouts = reply.get("rollouts")
        if rollouts is not None:
            parts.rollouts.take(rollouts)
        # Twice in a row: a change is usually just on its way to us.
        twice = behind and self._was_behind
        self._was_behind = behind
        return twice or reply["config"] > parts.view.version
