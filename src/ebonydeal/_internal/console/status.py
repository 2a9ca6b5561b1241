"""Data of the status pages, collected from all sources that are available."""

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
MAX_POLLED_PROCESSES = 64
_CALL_TIMEOUT_S = 1.0
_MAX_TRAIL_ROWS = 50
_SCAN_PAGE_ROWS = 1000


class ZoneCount(NamedTuple):
    """Endpoints of a deployment in one availability zone, by state."""

    zone: str
    ready: int
    starting: int
    leaving: int


class DeploymentStatus(NamedTuple):
    """Current state of one deployment.

    Prices are per hour in the document's currency; ``spend`` is the
    controller's row, or empty if there is none.
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
    """One ebonydeal process; ``version`` is None if it did not answer."""

    id: str
    address: str
    zone: str
    roles: list[str]
    version: int | None
    spread_s: float


class Status(NamedTuple):
    """The whole status; ``missing`` lists what could not be read, and why."""

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
        """Return the JSON object."""
        message: dict[str, Any] = self._asdict()
        message["deployments"] = [
            {**item._asdict(), "zones": [zone._asdict() for zone in item.zones]}
            for item in self.deployments
        ]
        message["processes"] = [item._asdict() for item in self.processes]
        return message


class StatusReader:
    """Collects the status, even if some sources are unavailable.

    Parameters
    ----------
    follower : ConfigFollower
        The configuration in force in this process.
    tables, instances : Tables, InstanceList
        The platform.
    peers : PeerService
        The other ebonydeal processes.
    client : PeerClient
        Calls the other processes.
    metrics : Metrics
        Counters of this process.
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
        """Collect the whole status."""
        missing: list[str] = []
        views, spend, trail, answers = await asyncio.gather(
            self._read_or_note("instance list", self.endpoints(), missing),
            self._read_or_note("spend", self._rows(SPEND_PREFIX), missing),
            self._read_or_note("event trail", self._rows(TRAIL_PREFIX), missing),
            self._poll_processes(),
        )
        document = self._follower.document
        by_name = {str(row.get("deployment")): row for row in spend}
        own = own_status_message(self._follower, self._metrics)
        reports = [own, *(answer for _, answer in answers if answer is not None)]
        return Status(
            version=document.version,
            currency=self.currency,
            deployments=[
                deployment_status(item, views, by_name.get(item.name, {}))
                for item in document.deployments.values()
            ],
            processes=[_process_status(member, answer) for member, answer in answers],
            processes_known=len(self._peers.members()),
            refusals=sum_counts(item["refusals"] for item in reports),
            retries=sum_counts(item["retries"] for item in reports),
            events=sum_counts(item["events"] for item in reports),
            trail=newest_rows(trail, _MAX_TRAIL_ROWS),
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
        """The configuration in force in this process."""
        return self._follower.document

    async def endpoints(self) -> list[EndpointView]:
        """Return the instance list; raises if it is unavailable."""
        return await self._instances.endpoints()

    async def explain(self, request_id: str) -> list[dict[str, Any]] | None:
        """Return the decisions for a request from all gateways that have any."""
        gateways = [m for m in self._peers.members() if "gateway" in m.roles]
        body = {"request_id": request_id}
        found = await asyncio.gather(
            *(self._call(member, EXPLAIN_PATH, body) for member in gateways)
        )
        steps = [
            step
            for answer in found
            if answer is not None
            for step in answer.get("steps", ())
        ]
        return sorted(steps, key=lambda step: step.get("at", 0)) or None

    async def _read_or_note(
        self, name: str, read: Awaitable[list[T]], missing: list[str]
    ) -> list[T]:
        """Return the result of ``read``, or [] and add the error to ``missing``."""
        try:
            return await read
        except EbonydealError as exc:
            missing.append(f"{name}: {exc.detail or exc.kind}")
            return []

    async def _rows(self, prefix: str) -> list[dict[str, Any]]:
        """Return the values of all rows whose keys have a prefix."""
        values: list[dict[str, Any]] = []
        start = ""
        while True:
            rows = await self._tables.scan(prefix, start, _SCAN_PAGE_ROWS)
            values.extend(row.value for row in rows)
            if len(rows) < _SCAN_PAGE_ROWS:
                return values
            start = rows[-1].key + "\0"

    async def _poll_processes(self) -> list[tuple[Member, Any]]:
        """Return the status of up to ``MAX_POLLED_PROCESSES`` other processes."""
        members = sorted(self._peers.members(), key=lambda member: member.id)
        polled = members[:MAX_POLLED_PROCESSES]
        answers = await asyncio.gather(
            *(self._call(member, STATUS_PATH, {}) for member in polled)
        )
        return [
            (member, answer if _is_status_message(answer) else None)
            for member, answer in zip(polled, answers, strict=True)
        ]

    async def _call(
        self, member: Member, path: str, body: dict[str, Any]
    ) -> dict[str, Any] | None:
        """Return a process's answer, or None."""
        try:
            answer = await self._client.call(
                member.address, path, body, _CALL_TIMEOUT_S
            )
        except EbonydealError:
            return None
        return answer if isinstance(answer, dict) else None


def _is_status_message(answer: Any) -> bool:
    """Return whether a process's answer has the expected fields."""
    match answer:
        case {
            "version": int(),
            "refusals": dict(),
            "retries": dict(),
            "events": dict(),
        }:
            return True
    return False


def _process_status(member: Member, answer: Any) -> ProcessStatus:
    """Return a process's row of the status page."""
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
    """Return a deployment's status according to the instance list."""
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


def sum_counts(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    """Return counts added up by name, largest first."""
    total: Counter[str] = Counter()
    for item in counts:
        total.update(item)
    return dict(total.most_common())


def newest_rows(rows: list[dict[str, Any]], limit: int) -> list[dict[str, Any]]:
    """Return the newest rows by time, newest first; rows without a time last."""

    def at(row: dict[str, Any]) -> float:
        try:
            return float(row["at"])
        except PARSE_ERRORS:
            return 0.0

    return sorted(rows, key=at, reverse=True)[:limit]
