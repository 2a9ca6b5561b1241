"""First steps of every request: authentication, body, ids, deadline."""

import asyncio
from random import Random
from typing import NamedTuple

from aiohttp import web

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.gateway.auth import Authenticator
from ebonydeal._internal.gateway.live_stream import Job
from ebonydeal._internal.gateway.parse import (
    KEY_HEADER,
    CallOptions,
    GenerationCall,
    body_digest,
)
from ebonydeal._internal.gateway.ports import ConfigPort
from ebonydeal._internal.models.document import Account, Deployment, Document
from ebonydeal._internal.models.requests import Priority, Request, RequestKind
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.utils.clients.connection import BoundedConnection
from ebonydeal._internal.utils.clock import Clock
from ebonydeal._internal.utils.ids import keyed_request_id, new_request_id
from ebonydeal._internal.utils.prefix import prefix_blocks, prompt_text

REQUEST_ID = web.RequestKey("request_id", str)
# Set once the journal is called: it reports the outcome itself from then on.
JOURNAL_CALLED = web.RequestKey("journal_asked", bool)
SESSION_HEADER = "X-Session-Id"
PATHS = {
    RequestKind.CHAT: "/v1/chat/completions",
    RequestKind.COMPLETION: "/v1/completions",
}
_ENGINE = "engine"
_PRIORITY_FIELD = "priority"
# A body is held as bytes, as text, parsed, and as it is sent to an endpoint.
_BODY_COPIES = 4


class RequestTimes(NamedTuple):
    """Arrival and deadline of a request, wall clock seconds; deadline 0.0: none."""

    received_at: float
    deadline: float


class Intake:
    """Turns HTTP requests into validated values.

    Parameters
    ----------
    config : ConfigPort
        Holds the document in force.
    cfg : GatewaySettings
        Limits.
    shards : int
        Number of journal shards; a request id contains its shard.
    clock, rng : Clock, random.Random
        Time and ids.
    """

    def __init__(
        self,
        config: ConfigPort,
        cfg: GatewaySettings,
        shards: int,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._config = config
        self._cfg = cfg
        self._shards = shards
        self._clock = clock
        self._rng = rng
        self._auth = Authenticator()

    @property
    def document(self) -> Document:
        """The document in force."""
        return self._config.document

    def account(self, req: web.Request) -> Account:
        """Return the caller's client account; raises UNAUTHORIZED."""
        return self._auth.account(req.headers.get("Authorization"), self.document)

    async def body(self, req: web.Request) -> bytes:
        """Return the whole body; raises SLOW_SENDER, BODY_TOO_LARGE or MEMORY_SHORT."""
        try:
            async with asyncio.timeout(self._cfg.body_seconds):
                raw = await req.read()
        except TimeoutError:
            detail = f"the body took longer than {self._cfg.body_seconds:g} s"
            raise EbonydealError(ErrorKind.SLOW_SENDER, detail) from None
        except web.HTTPRequestEntityTooLarge:
            detail = "the body is too large"
            raise EbonydealError(ErrorKind.BODY_TOO_LARGE, detail) from None
        if isinstance(req.protocol, BoundedConnection):
            req.protocol.accept(_BODY_COPIES)
        return raw

    def new_id(self) -> str:
        """Return a new request id on a random shard."""
        return new_request_id(self._rng.randrange(self._shards), self._rng)

    def keyed_id(self, account: str, key: str) -> str:
        """Return the request id derived from an account's idempotency key."""
        return keyed_request_id(account, key, self._shards)

    def request_times(self, options: CallOptions, default_s: float) -> RequestTimes:
        """Return arrival and deadline of a request; ``default_s`` 0.0: no deadline."""
        now = self._clock.wall()
        seconds = options.deadline_s or default_s
        return RequestTimes(now, now + seconds if seconds else 0.0)

    def engine_deployment(self, model: str, account: Account) -> Deployment:
        """Return the deployment that serves ``model``; raises UNKNOWN_MODEL."""
        deployment = self.document.for_model(model, account.name)
        if deployment is None or deployment.kind != _ENGINE:
            detail = f"model '{model}' is not available to this account"
            raise EbonydealError(ErrorKind.UNKNOWN_MODEL, detail)
        return deployment

    def generation_request(
        self,
        call: GenerationCall,
        account: Account,
        request_id: str,
        times: RequestTimes,
        raw: bytes,
    ) -> tuple[Request, Deployment]:
        """Return the request and the deployment of a validated generation call."""
        deployment = self.engine_deployment(call.model, account)
        path = PATHS[call.kind]
        request = Request(
            request_id=request_id,
            account=account.name,
            deployment=deployment.name,
            kind=call.kind,
            method="POST",
            path=path,
            headers={},
            body=raw.decode(),
            body_object="",
            body_digest=body_digest("POST", path, raw),
            key=call.options.key,
            idempotent=True,
            priority=allowed_priority(call.options.priority, deployment, account),
            accepted_at=times.received_at,
            deadline=times.deadline,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.max_tokens or self._cfg.max_output_tokens,
        )
        return request, deployment


def may_have_run(req: web.Request) -> bool:
    """Return whether the request has a key that the journal wasn't asked about."""
    return bool(req.headers.get(KEY_HEADER)) and not req.get(JOURNAL_CALLED, False)


def allowed_priority(
    requested: Priority | None, deployment: Deployment, account: Account
) -> Priority:
    """Return the requested or the deployment's priority, capped by the account's."""
    wanted = deployment.priority if requested is None else requested
    return max(wanted, account.priority)


def build_job(call: GenerationCall, request: Request, deployment: Deployment) -> Job:
    """Return the job for the stream runner."""
    blocks = prefix_blocks(call.model, prompt_text(call.body))
    # The allowed priority replaces any priority in the caller's body.
    body = {**call.body, _PRIORITY_FIELD: int(request.priority)}
    return Job(request, deployment, call.model, body, blocks)
