"""What relays tell each other of limits, as JSON on the wire."""

from typing import TypedDict

# Path of a call: a relay delegates its share to a stand-in.
DELEGATE = "/relay/v1/delegate"
# Path of a call: a relay that has found the coordinator takes its share back.
RELEASE = "/relay/v1/release"
# Path of a call: a relay wants to send to an endpoint that named a limit.
PERMIT = "/relay/v1/permit"


class ShareReport(TypedDict):
    """What a relay tells of its share of all limits.

    ``weight`` is the share, 0 without one. ``granter``, ``until`` and ``seconds`` are
    the word on which it is delegated; ``free`` says that it is delegated to nobody.
    ``up_s`` is for how long the process has run. ``stand_in`` holds by account what it
    has to grant while there is no coordinator; ``stands_back_s`` is the time for which
    it leaves a free lease to larger instances, seconds, ``zone`` its availability zone.
    ``along`` holds by account what came along with the share from its last granter,
    and ``along_number`` which of such amounts it is.
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
    """A granter's answer: the word on which the relay may delegate its share.

    ``weight`` is the relay's share and ``kept_s`` for how long, 0 where this granter
    has no say in it; ``grants`` are amounts by account in advance. ``stand_ins`` are
    the addresses of those who grant while there is no coordinator, ``stand_in`` what
    this relay may then grant, beside what it has; None where it isn't the first.
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
    """A relay's word to a stand-in."""

    node: str
    incarnation: str
    limits: ShareReport


class ReleaseMessage(TypedDict):
    """A relay takes its share back."""

    node: str
    incarnation: str


class ReleaseReply(TypedDict):
    """What goes along with the share, by account; who answers counts it no more."""

    along: dict[str, float]


class PermitMessage(TypedDict):
    """A relay asks to send one request to an endpoint that named a limit.

    ``report`` is what it knows of the limit, as `LimitReport` is written.
    """

    report: list


class PermitReply(TypedDict):
    """Whether it may, or seconds until it may ask again.

    ``report`` is what the granter knows of the limit.
    """

    granted: bool
    wait: float
    report: list | None
