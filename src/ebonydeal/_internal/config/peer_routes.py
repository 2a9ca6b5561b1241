"""What each process tells its peers of configuration and counters."""

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
    """Wire shape of one process's status."""

    version: int
    spread_s: float
    refusals: dict[str, int]
    retries: dict[str, int]
    events: dict[str, int]


class Peers(Protocol):
    """What is needed of `PeerService`."""

    def register(self, topic: ConfigTopic) -> None:
        """Carry a further topic."""

    def push_if_small_group(self, topic: str, items: list[Any]) -> None:
        """Send payload items of a topic at once, unless the peers are many."""

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
    """Let peers carry the configuration, and tell them status; before the start.

    A version that is news here is pushed to several peers at once, so that it is
    everywhere before most have polled; rounds carry what a push missed, and all
    of it in large groups.

    Parameters
    ----------
    peers : PeerService
        The process's peers.
    follower : ConfigFollower
        Whose topic is carried.
    metrics : Metrics
        What is told.
    explain : callable, optional
        Returns the decision trail of a request id (`Trails.steps`).
    """

    async def status(_req: web.Request) -> web.Response:
        return web.json_response(own_status_message(follower, metrics))

    async def explained(req: web.Request) -> web.Response:
        body = await read_json(req)
        steps = explain(str(body.get("request_id"))) if explain else None
        if steps is None:
            raise EbonydealError(ErrorKind.NOT_FOUND, "the request is not known here")
        return web.json_response({"steps": steps})

    def push(info: VersionInfo) -> None:
        peers.push_if_small_group(follower.topic.name, [info.to_row()])

    peers.register(follower.topic)
    follower.on_version(push)
    peers.add_routes([web.post(STATUS_PATH, status), web.post(EXPLAIN_PATH, explained)])
