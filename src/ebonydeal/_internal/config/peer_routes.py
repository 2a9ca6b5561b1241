"""Each process's peer routes for its configuration version and counters."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol, TypedDict

from aiohttp import web

from ebonydeal._internal.config.follower import ConfigFollower
from ebonydeal._internal.config.rows import VersionInfo
from ebonydeal._internal.config.topic import ConfigTopic
from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Metrics, Timing
from ebonydeal._internal.utils.web import read_json

STATUS_PATH = "/peers/v1/status"
EXPLAIN_PATH = "/peers/v1/explain"
_SPREAD_PERCENT = 99.0


class ProcessMessage(TypedDict):
    """Wire shape of one process's status.

    ``spread_s`` is the 99th percentile of the time from acceptance to adoption.
    """

    version: int
    spread_s: float
    refusals: dict[str, int]
    retries: dict[str, int]
    events: dict[str, int]


class Peers(Protocol):
    """The part of `PeerService` that is used here."""

    def register(self, topic: ConfigTopic) -> None:
        """Add a topic to the gossip."""

    def push_if_small_group(self, topic: str, items: list[Any]) -> None:
        """Push payload items of a topic, unless the group is large."""

    def add_routes(self, routes: Iterable[web.AbstractRouteDef]) -> None:
        """Serve further routes on the peer listener."""


def own_status_message(follower: ConfigFollower, metrics: Metrics) -> ProcessMessage:
    """Return this process's own status."""
    return ProcessMessage(
        version=follower.document.version,
        spread_s=metrics.quantile(Timing.CONFIG_SPREAD, _SPREAD_PERCENT),
        refusals=metrics.refusals(),
        retries=metrics.retries(),
        events=metrics.events(),
    )


def register_with_peers(
    peers: Peers,
    follower: ConfigFollower,
    metrics: Metrics,
    explain: Callable[[str], list[Any] | None] | None = None,
) -> None:
    """Spread the configuration through peers, and serve status; before the start.

    A newly adopted version is pushed to several peers immediately, so that it reaches
    all processes before most have polled. Gossip rounds deliver what a push missed;
    in large groups they deliver all versions.

    Parameters
    ----------
    peers : PeerService
        The process's peers.
    follower : ConfigFollower
        Its topic is spread.
    metrics : Metrics
        Counters of the status.
    explain : callable, optional
        Returns the decision trail of a request id (`Trails.steps`).
    """

    async def status(_req: web.Request) -> web.Response:
        return web.json_response(own_status_message(follower, metrics))

    async def explain_request(req: web.Request) -> web.Response:
        body = await read_json(req)
        steps = explain(str(body.get("request_id"))) if explain else None
        if steps is None:
            raise EbonydealError(ErrorKind.NOT_FOUND, "the request is not known here")
        return web.json_response({"steps": steps})

    def push(info: VersionInfo) -> None:
        peers.push_if_small_group(follower.topic.name, [info.to_row()])

    peers.register(follower.topic)
    follower.on_version(push)
    peers.add_routes(
        [web.post(STATUS_PATH, status), web.post(EXPLAIN_PATH, explain_request)]
    )
