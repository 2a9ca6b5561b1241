"""The listener that each relay has for the others, and for readers of metrics."""

from base64 import b64encode
from collections.abc import Awaitable, Callable
from inspect import isawaitable
from typing import Any
from zlib import compress

from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.peers.access import check_credential
from ebonydeal._internal.relay.crashes.suspects import CRASHES_PATH, Suspects
from ebonydeal._internal.relay.duties.coordinator import Coordinator
from ebonydeal._internal.relay.limits.messages import DELEGATE, PERMIT, RELEASE
from ebonydeal._internal.relay.links.forward_messages import FORWARD
from ebonydeal._internal.relay.peers.long_prompts import (
    LONG_PROMPT,
    LongPromptReceiver,
)
from ebonydeal._internal.relay.peers.messages import (
    EXCHANGE,
    GRANT,
    VIEW,
    ViewMessage,
    ViewReply,
)
from ebonydeal._internal.relay.peers.rollouts import encode_gates
from ebonydeal._internal.relay.view.deltas import (
    DELTA,
    DeltaReceiver,
    missing_message,
)
from ebonydeal._internal.relay.view.view import RelayView
from ebonydeal._internal.routing.rollout.traffic_split import TrafficSplit
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.error_responses import error_response
from ebonydeal._internal.utils.peerclient import MIN_COMPRESS_BYTES
from ebonydeal._internal.utils.web import read_json

METRICS = "/metrics"
QUARANTINE = "/quarantine"
ROLLOUTS_REPORT = "/rollouts"


def peer_response(reply: Any) -> web.Response:
    """Return a reply to another relay, compressed if it is large."""
    resp = web.json_response(reply)
    if (resp.content_length or 0) >= MIN_COMPRESS_BYTES:
        resp.enable_compression()
    return resp


class PeerHandler:
    """Answers other relays, and requests for metrics and operators' reports."""

    def __init__(
        self,
        credential: str,
        coordinator: Coordinator,
        view: RelayView,
        deltas: DeltaReceiver,
        long_prompts: LongPromptReceiver,
        suspects: Suspects,
        split: TrafficSplit,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._credential = credential
        self._coordinator = coordinator
        self._view = view
        self._suspects = suspects
        self._split = split
        self._metrics = metrics
        self._clock = clock
        # Returns the report on roll-outs for operators.
        self.rollouts: Callable[[], list[dict[str, Any]]] = list
        # Sends a request to an endpoint for another relay.
        self.forward: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
        # The version of the configuration, and its form on the wire.
        self._packed_config: tuple[int, str] = (-1, "")
        self._calls: dict[str, Callable[[Any], Any]] = {
            EXCHANGE: coordinator.exchange,
            GRANT: coordinator.grant,
            DELEGATE: coordinator.delegate,
            RELEASE: coordinator.release_share,
            PERMIT: coordinator.permit,
            VIEW: self._view_reply,
            DELTA: deltas.receive,
            LONG_PROMPT: long_prompts.receive,
            CRASHES_PATH: suspects.receive,
        }

    def serve(self, path: str, call: Callable[[Any], Any]) -> None:
        """Register the handler of one more call; it may be a coroutine function."""
        self._calls[path] = call

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if req.path == METRICS:
            return web.Response(body=self._metrics.render(), content_type="text/plain")
        if req.path == QUARANTINE:
            return web.json_response(self._suspects.report())
        if req.path == ROLLOUTS_REPORT:
            return web.json_response(self.rollouts())
        try:
            check_credential(req, self._credential)
            if req.path == FORWARD:
                return await self.forward(req)
            call = self._calls.get(req.path)
            if call is None:
                raise EbonydealError(ErrorKind.NOT_FOUND, f"no such call: {req.path}")
            reply = call(await read_json(req))
            return peer_response(await reply if isawaitable(reply) else reply)
        except EbonydealError as exc:
            return error_response(exc)
        except (KeyError, TypeError, ValueError) as exc:
            detail = f"malformed message: {exc!r}"
            return error_response(EbonydealError(ErrorKind.BAD_REQUEST, detail))

    def _view_reply(self, message: ViewMessage) -> ViewReply:
        """Return what is newer here than at the relay that asks."""
        view = self._view
        reply = ViewReply()
        if view.version > message["config"]:
            reply["config"] = self._config_message()
        since = message["members"]
        if since is not None and view.members_known and view.members_version > since:
            reply["members"] = [list(member) for member in view.members.values()]
            reply["missing"] = missing_message(view, view.members, self._clock.now())
            reply["version"] = view.members_version
        crashes = self._suspects.to_message_if_differs(
            message.get("crashes_mark", self._suspects.fingerprint)
        )
        if crashes is not None:
            reply["crashes"] = crashes
        gates = self._split.gates()
        if gates:
            reply["rollouts"] = encode_gates(gates, view.versions.read_to)
        lease = self._coordinator.lease
        if lease.row is not None:
            reply["lease"] = [list(lease.row), lease.version]
        return reply

    def _config_message(self) -> str:
        """Return the configuration's form on the wire, made once for all relays."""
        view = self._view
        if self._packed_config[0] != view.version:
            packed = b64encode(compress(view.raw_table)).decode("ascii")
            self._packed_config = (view.version, packed)
        return self._packed_config[1]
