"""Messages between relays about limits, as JSON on the wire."""

from typing import TypedDict

# Path of the call by which a relay delegates its share to a standby.
DELEGATE = "/relay/v1/delegate"
# Path of the call by which a relay that has found the coordinator gets its share back.
RELEASE = "/relay/v1/release"
# Path of the call by which a relay requests to send to an endpoint with a limit.
PERMIT = "/relay/v1/permit"


class ShareReport(TypedDict):
    """A relay's report of its share of all limits.

    ``weight`` is the share as a fraction, 0 without one. ``granter``, ``until`` and
    ``seconds`` are the offer under which it is delegated; ``free`` says that it is
    delegated to no relay. ``up_s`` is the uptime of the process. ``stand_in`` holds, by
    account, the amounts that the relay may grant as standby; ``stands_back_s`` is how
    long it leaves a free lease to larger instances, seconds; ``zone`` is its
    availability zone. ``along`` holds, by account, the amounts that its last granter
    returned with the share, and ``along_number`` the number of that transfer.
    """

    weight: float
    granter: str
    until: float
    seconds: float
    free: bool
    up_s: float
    stand_in: dict[str, float]
    stands_back_s: float
    zone: str
    along: dict[str, float]
    along_number: int


class ShareReply(TypedDict):
    """A granter's reply: the offer under which the relay may delegate its share.

    ``weight`` is the relay's share and ``kept_s`` its TTL, both 0 if this granter
    doesn't assign shares; ``grants`` are amounts by account in advance. ``stand_ins``
    are the addresses of the standbys, which grant while there is no coordinator.
    ``stand_in`` is what this relay may grant as first standby, beside the amounts that
    it holds; None if it isn't the first standby.
    """

    granter: str
    until: float
    seconds: float
    weight: float
    kept_s: float
    grants: dict[str, float]
    stand_ins: list[str]
    stand_in: dict[str, float] | None


class DelegateMessage(TypedDict):
    """A relay's report to a standby."""

    node: str
    incarnation: str
    limits: ShareReport


class ReleaseMessage(TypedDict):
    """A relay requests its share back."""

    node: str
    incarnation: str


class ReleaseReply(TypedDict):
    """The amounts returned with a share, by account; its granter has released it."""

    along: dict[str, float]


class PermitMessage(TypedDict):
    """A relay asks to send one request to an endpoint with a limit.

    ``report`` is what it knows about the limit, an encoded `LimitReport`.
    """

    report: list


class PermitReply(TypedDict):
    """Whether the relay may send, or the seconds until it may ask again.

    ``report`` is what the granter knows about the limit.
    """

    granted: bool
    wait: float
    report: list | None
