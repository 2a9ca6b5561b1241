"""What relays tell each other, as JSON on the wire."""

from typing import TypedDict

from ebonydeal._internal.relay.limits.messages import LimitsReply, LimitsWord
from ebonydeal._internal.routing.crashes.crash_messages import EvidenceMessage
from ebonydeal._internal.routing.rollout.split import TallyMessage

# Paths of the calls.
EXCHANGE = "/relay/v1/exchange"
GRANT = "/relay/v1/grant"
VIEW = "/relay/v1/view"
HOLDER = "/relay/v1/holder"
ROLLOUTS = "/relay/v1/rollouts"


class RolloutsMessage(TypedDict):
    """What the coordinator decided of roll-outs: each `RolloutGate` as a list.

    ``read_to`` is the store's version up to which it knows all orders.
    """

    read_to: int
    gates: list[list]


class ExchangeMessage(TypedDict):
    """A relay's word to the coordinator, several times a second.

    ``loads`` by endpoint: requests running, tokens not yet read. ``demand`` by
    account: an amount a second, and the balance still unused. ``work`` by
    service: seconds of an endpoint's time asked for a second. ``answers`` by
    endpoint: how many came lately, and how many of them failed. ``seen`` is the
    mark of the last news. ``known`` is the hash of the relays' addresses that it was
    told. ``crashes`` is what it remembers of crashes, None where the coordinator's last
    mark of that was its own ``crashes_mark``. ``rollouts`` by service: what it counted
    of each roll-out. ``limits`` is of its share of client accounts' limits.
    ``notices`` are the endpoints' limits that it heard of itself, as `LimitReport`s,
    ``said_leaving`` those that said that they leave: id, start, seconds since then.
    """

    node: str
    incarnation: str
    address: str
    known: str
    wall: float
    windows: dict[str, dict[str, int]]
    loads: dict[str, list[float]]
    demand: dict[str, list[float]]
    work: dict[str, float]
    answers: dict[str, list[float]]
    leaving: bool
    seen: list[int]
    crashes_mark: str
    crashes: EvidenceMessage | None
    rollouts: dict[str, TallyMessage]
    limits: LimitsWord
    notices: list[list]
    said_leaving: list[list]


class NewsMessage(TypedDict):
    """Changes of the list of endpoints, from the coordinator.

    ``config`` is the version of the configuration that it knows; -1 for none.

    ``mark`` is the coordinator's fence and its count of changes, which the
    relay tells back; ``version`` the store's version of the list. ``put`` are
    endpoints, ``gone`` pairs of id and version. ``whole`` says that all others
    are gone too. ``ages`` are seconds since those that leave said so, by id.
    """

    config: int
    mark: list[int]
    version: int
    put: list[list]
    gone: list[list]
    whole: bool
    ages: dict[str, float]


class ExchangeReply(TypedDict):
    """The coordinator's answer.

    ``holds`` says whether it may act on the duties now; ``loads`` and ``answers``
    are those of all other relays, ``answers`` only of endpoints that failed any;
    ``relays`` are all relays' addresses, None where the word's hash is theirs;
    ``reported`` the last usage window that is done.
    ``period`` is the time until the relay's next word, seconds; ``tells_config`` says
    that relays need not follow the configuration themselves.
    ``fresh`` says that the coordinator hears the store; ``news`` is None without
    any. ``crashes`` is None where the word's mark is ``crashes_mark``. ``rollouts`` is
    None where the coordinator doesn't decide now. ``limits`` is None where it isn't the
    holder of the lease. ``notices`` are all endpoints' limits, as `LimitReport`s.
    ``said_leaving`` as in the message.
    """

    holds: bool
    relays: list[str] | None
    config: int
    members: int
    reported: int
    loads: dict[str, list[float]]
    answers: dict[str, list[float]]
    grants: dict[str, float]
    limits: LimitsReply | None
    period: float
    tells_config: bool
    fresh: bool
    news: NewsMessage | None
    crashes_mark: str
    crashes: EvidenceMessage | None
    rollouts: RolloutsMessage | None
    notices: list[list]
    said_leaving: list[list]


class LongReadMessage(TypedDict):
    """A relay sent a long prompt: its endpoint reads for so many seconds from now."""

    endpoint: str
    seconds: float


class CrashesMessage(TypedDict):
    """A relay saw crashes, or knows what speaks for requests at work in them."""

    node: str
    crashes: EvidenceMessage


class GrantMessage(TypedDict):
    """A relay asks for an amount of an account's limit.

    ``spare`` says that the coordinator had none left, and the stand-in is asked for
    what it has of the burst.
    """

    account: str
    amount: float
    spare: bool


class GrantReply(TypedDict):
    """What it may admit, or seconds until it may ask again; None for never.

    ``short`` is by how much too little was there.
    """

    amount: float
    wait: float | None
    short: float


class HolderMessage(TypedDict):
    """A relay says that it holds the lease: its row, and the row's version."""

    row: list
    version: int


class ViewMessage(TypedDict):
    """A relay asks for news that the store doesn't give it.

    ``members`` is None where the list of endpoints isn't wanted; ``crashes_mark`` is
    of what it remembers of crashes.
    """

    config: int
    members: int | None
    crashes_mark: str


class ViewReply(TypedDict, total=False):
    """News: the configuration as it was read (zlib, base64), and the whole list.

    ``lease`` is the lease's row as last seen, and its version.
    """

    config: str
    lease: list
    members: list[list]
    version: int
    crashes: EvidenceMessage
    rollouts: RolloutsMessage
