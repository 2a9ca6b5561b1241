"""What the status pages show, gathered from wherever it can still be had."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Iterable
from typing import Any, NamedTuple, TypeVar

from ebonydeal._internal.config.follower import ConfigFollower
from ebonydeal._internal.config.peer_routes import (
    EXPLAIN_PATH,
    STATUS_PATH,
    own_status_message,
)
from ebonydeal._internal.config.rows import PARSE_ERRORS
from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.document import Deployment, Document
from ebonydeal._internal.models.endpoints import EndpointState, EndpointView
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.outside.interfaces import InstanceList, Tables
from ebonydeal._internal.peers.membership import Member
from ebonydeal._internal.peers.service import PeerService
from ebonydeal._internal.utils.peerclient import PeerClient

T = TypeVar("T")

SPEND_PREFIX = "spend/"
TRAIL_PREFIX = "trail/"
MOST_ASKED = 64
_CALL_S = 1.0
_TRAIL_SHOWN = 50
_PAGE = 1000


class ZoneCount(NamedTuple):
    """Endpoints of a deployment in one availability zone, by state."""

    zone: str
    ready: int
    starting: int
    leaving: int


class DeploymentStatus(NamedTuple):
    """One deployment as it stands.

    Prices in the document's currency an hour; ``spend`` is the controller's
    row, empty where there is none.
    """

    name: str
    kind: str
    least: int
    most: int
    ready: int
    zones: list[ZoneCount]
    price_per_hour: float
    ceiling: float
    spend: dict[str, Any]


class ProcessStatus(NamedTuple):
    """One own process; ``version`` is None where it can't be asked."""

    id: str
    address: str
    zone: str
    roles: list[str]
    version: int | None
    spread_s: float


class Status(NamedTuple):
    """Everything at once; ``missing`` says what couldn't be read, and why."""

    version: int
    currency: str
    deployments: list[DeploymentStatus]
    processes: list[ProcessStatus]
    processes_known: int
    refusals: dict[str, int]
    retries: dict[str, int]
    events: dict[str, int]
    trail: list[dict[str, Any]]
    missing: list[str]

    def to_message(self) -> dict[str, Any]:
        """Return the wire shape."""
        message: dict[str, Any] = self._asdict()
        message["deployments"] = [
            {**item._asdict(), "zones": [zone._asdict() for zone in item.zones]}
            for item in self.deployments
        ]
        message["processes"] = [item._asdict() for item in self.processes]
        return message


class StatusReader:
    """Reads status; a part that is out is named, and the rest is shown.

    Parameters
    ----------
    follower : ConfigFollower
        The configuration in force here.
    tables, instances : Tables, InstanceList
        The platform.
    peers : PeerService
        Other own processes.
    client : PeerClient
        Asks them.
    metrics : Metrics
        Own counters.
    """

    def __init__(
        self,
        follower: ConfigFollower,
        tables: Tables,
        instances: InstanceList,
        peers: PeerService,
        client: PeerClient,
        metrics: Metrics,
    ) -> None:
        self._follower = follower
        self._tables = tables
        self._instances = instances
        self._peers = peers
        self._client = client
        self._metrics = metrics

    async def read(self) -> Status:
        """Gather everything."""
        missing: list[str] = []
        views, spend, trail, answers = await asyncio.gather(
            self._attempt("instance list", self.endpoints(), missing),
            self._attempt("spend", self._rows(SPEND_PREFIX), missing),
            self._attempt("event trail", self._rows(TRAIL_PREFIX), missing),
            self._ask_all(),
        )
        document = self._follower.document
        by_name = {str(row.get("deployment")): row for row in spend}
        own = own_status_message(self._follower, self._metrics)
        told = [own, *(answer for _, answer in answers if answer is not None)]
        return Status(
            version=document.version,
            currency=self.currency,
            deployments=[
                deployment_status(item, views, by_name.get(item.name, {}))
                for item in document.deployments.values()
            ],
            processes=[_process(member, answer) for member, answer in answers],
            processes_known=len(self._peers.members()),
            refusals=summed(item["refusals"] for item in told),
            retries=summed(item["retries"] for item in told),
            events=summed(item["events"] for item in told),
            trail=newest(trail, _TRAIL_SHOWN),
            missing=missing,
        )

    @property
    def currency(self) -> str:
        """The document's currency."""
        for key, value in self._follower.topic.content.items.items():
            if key.section == "document":
                return str(value.get("currency", ""))
        return ""

    @property
    def document(self) -> Document:
        """The configuration in force here."""
        return self._follower.document

    async def endpoints(self) -> list[EndpointView]:
        """Return the instance list; raises if it is out."""
        return await self._instances.endpoints()

    async def explain(self, request_id: str) -> list[dict[str, Any]] | None:
        """Return what was decided for a request, from whichever gateway knows."""
        gateways = [m for m in self._peers.members() if "gateway" in m.roles]
        body = {"request_id": request_id}
        found = await asyncio.gather(
            *(self._ask(member, EXPLAIN_PATH, body) for member in gateways)
        )
        steps = [
            step
            for answer in found
            if answer is not None
            for step in answer.get("steps", ())
        ]
        return sorted(steps, key=lambda step: step.get("at", 0)) or None

    async def _attempt(
        self, name: str, read: Awaitable[list[T]], missing: list[str]
    ) -> list[T]:
        """Return what ``read`` gives, or nothing after noting why."""
        try:
            return await read
        except EbonydealError as exc:
            missing.append(f"{name}: {exc.detail or exc.kind}")
            return []

    async def _rows(self, prefix: str) -> list[dict[str, Any]]:
        """Return the values of all rows of a prefix."""
        values: list[dict[str, Any]] = []
        start = ""
        while True:
            rows = await self._tables.scan(prefix, start, _PAGE)
            values.extend(row.value for row in rows)
            if len(rows) < _PAGE:
                return values
            start = rows[-1].key + "\0"

    async def _ask_all(self) -> list[tuple[Member, Any]]:
        """Return the status of up to ``MOST_ASKED`` other processes."""
        members = sorted(self._peers.members(), key=lambda member: member.id)
        asked = members[:MOST_ASKED]
        answers = await asyncio.gather(
            *(self._ask(member, STATUS_PATH, {}) for member in asked)
        )
        return [
            (member, answer if _sound(answer) else None)
            for member, answer in zip(asked, answers, strict=True)
        ]

    async def _ask(
        self, member: Member, path: str, body: dict[str, Any]
    ) -> dict[str, Any] | None:
        """Return a process's answer, or None."""
        try:
            answer = await self._client.call(member.address, path, body, _CALL_S)
        except EbonydealError:
            return None
        return answer if isinstance(answer, dict) else None


def _sound(answer: Any) -> bool:
    """Return whether a process's answer has the wire shape."""
    match answer:
        case {
            "version": int(),
            "refusals": dict(),
            "retries": dict(),
            "events": dict(),
        }:
            return True
    return False


def _process(member: Member, answer: Any) -> ProcessStatus:
    """Return a process's line."""
    return ProcessStatus(
        id=member.id,
        address=member.address,
        zone=member.zone,
        roles=list(member.roles),
        version=None if answer is None else answer["version"],
        spread_s=0.0 if answer is None else float(answer.get("spread_s", 0.0)),
    )


def deployment_status(
    item: Deployment, views: list[EndpointView], spend: dict[str, Any]
) -> DeploymentStatus:
    """Return how a deployment stands by what the instance list says."""
    own = [view for view in views if view.deployment == item.name]
    zones = []
    for place in item.zones:
        states = Counter(view.state for view in own if view.place.zone == place.zone)
        zones.append(
            ZoneCount(
                place.zone,
                states[EndpointState.READY],
                states[EndpointState.STARTING],
                states[EndpointState.LEAVING],
            )
        )
    return DeploymentStatus(
        name=item.name,
        kind=item.kind,
        least=item.min_replicas,
        most=item.max_replicas,
        ready=sum(view.state == EndpointState.READY for view in own),
        zones=zones,
        price_per_hour=sum(view.price_per_hour for view in own),
        ceiling=item.price_ceiling,
        spend=spend,
    )


def summed(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    """Return counts added up by name, largest first."""
    total: Counter[str] = Counter()
    for item in counts:
        total.update(item)
    return dict(total.most_common())


def newest(rows: list[dict[str, Any]], limit: int) -> list[dict[str, Any]]:
    """Return the newest rows by time, newest first; rows without a time last."""

    def at(row: dict[str, Any]) -> float:
        try:
            return float(row["at"])
        except PARSE_ERRORS:
            return 0.0

    return sorted(rows, key=at, reverse=True)[:limit]
