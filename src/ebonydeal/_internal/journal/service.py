"""The journal's listener: calls from gateways and offers from other nodes."""

import hmac

from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.node import JournalNode, Offer
from ebonydeal._internal.models.requests import Request
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.utils.peerclient import PEER_HEADER, PeerClient
from ebonydeal._internal.utils.web import Handler, new_app, read_json

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_WAIT_S = 60.0
OFFER_PATH = "/journal/v1/offer"
OFFER_TIMEOUT_S = 3.0


def check_peer(req: web.Request, credential: str) -> None:
    """Raise UNAUTHORIZED unless the caller is a process of this system."""
    given = req.headers.get(PEER_HEADER, "")
    if not hmac.compare_digest(given.encode(), credential.encode()):
        raise EbonydealError(
            ErrorKind.UNAUTHORIZED, "the caller is not a process of this system"
        )


def _text(body: dict, name: str) -> str:
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise EbonydealError(
            ErrorKind.BAD_REQUEST, f"'{name}' must be a non-empty string"
        )
    return value


def _request(body: dict) -> Request:
    try:
        return Request.from_message(body["request"])
    except (KeyError, TypeError, ValueError) as exc:
        raise EbonydealError(
            ErrorKind.BAD_REQUEST, f"'request' is malformed: {exc!r}"
        ) from exc


def _wait(body: dict) -> float:
    wait = body.get("wait", 0.0)
    if not isinstance(wait, (int, float)) or not 0 <= wait <= MAX_WAIT_S:
        raise EbonydealError(
            ErrorKind.BAD_REQUEST, f"'wait' must be 0 to {MAX_WAIT_S:g} seconds"
        )
    return float(wait)


class JournalApi:
    """Handlers of the journal's calls."""

    def __init__(self, node: JournalNode, credential: str) -> None:
        self._node = node
        self._credential = credential

    def add_to(self, app: web.Application) -> None:
        """Add the routes, each with the credential check."""
        for name, handler in (
            ("accept", self.accept),
            ("call", self.call),
            ("status", self.status),
            ("cancel", self.cancel),
            ("offer", self.offer),
        ):
            app.router.add_post(f"/journal/v1/{name}", self._with_peer_check(handler))

    def _with_peer_check(self, handler: Handler) -> Handler:
        async def checked(req: web.Request) -> web.StreamResponse:
            check_peer(req, self._credential)
            return await handler(req)

        return checked

    async def accept(self, req: web.Request) -> web.Response:
        """Reply once the request is durable."""
        request = _request(await read_json(req))
        owner = self._node.owner_of(request.request_id)
        await owner.accept(request)
        answer = {"request_id": request.request_id, "state": "accepted"}
        return web.json_response(answer)

    async def call(self, req: web.Request) -> web.Response:
        """Reply when the request is final, or with its state after ``wait`` seconds."""
        body = await read_json(req)
        request = _request(body)
        owner = self._node.owner_of(request.request_id)
        return web.json_response(await owner.call(request, _wait(body)))

    async def status(self, req: web.Request) -> web.Response:
        """Reply with the durable state of a request."""
        body = await read_json(req)
        request_id = _text(body, "request_id")
        owner = self._node.owner_of(request_id)
        return web.json_response(await owner.status(request_id, _text(body, "account")))

    async def offer(self, req: web.Request) -> web.Response:
        """Claim a shard that the calling node has just released."""
        shard = (await read_json(req)).get("shard")
        if not isinstance(shard, int):
            raise EbonydealError(ErrorKind.BAD_REQUEST, "'shard' must be an integer")
        return web.json_response({"taken": await self._node.accept_offer(shard)})

    async def cancel(self, req: web.Request) -> web.Response:
        """Cancel a request and reply with its status."""
        body = await read_json(req)
        request_id = _text(body, "request_id")
        owner = self._node.owner_of(request_id)
        return web.json_response(await owner.cancel(request_id, _text(body, "account")))


def http_offer(peers: PeerClient) -> Offer:
    """Return a function that offers a released shard to another node over HTTP."""

    async def offer(address: str, shard: int) -> None:
        await peers.call(address, OFFER_PATH, {"shard": shard}, OFFER_TIMEOUT_S)

    return offer


def journal_app(
    node: JournalNode, credential: str, metrics: Metrics
) -> web.Application:
    """Return the journal's web application."""
    app = new_app(metrics, MAX_BODY_BYTES)
    JournalApi(node, credential).add_to(app)

    async def ready(_req: web.Request) -> web.Response:
        shards = sorted(node.owners)
        serving = [shard for shard in shards if node.owners[shard].serving]
        return web.json_response({"ready": True, "shards": shards, "serving": serving})

    app.router.add_get("/health/ready", ready)
    return app
