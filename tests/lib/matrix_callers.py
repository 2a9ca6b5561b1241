"""Callers of the fault matrix: their requests and the replies they got."""

import json
from dataclasses import dataclass, field
from typing import Any

from ebonydeal._internal.models.requests import Priority, Request, RequestKind
from ebonydeal._internal.peers.journal_client import JournalStatus

ACCOUNT = "gwesty"


@dataclass
class Caller:
    """A client account's view of one request, with its error replies in order."""

    request: Request
    tag: str
    retries: bool = True
    accepted: bool = False
    replies: list[tuple[str, int]] = field(default_factory=list)
    status: JournalStatus | None = None
    gave_up: bool = False
    lost: bool = False

    @property
    def done(self) -> bool:
        return self.gave_up or (self.status is not None and self.status.is_final)


def make_chat(tag: str, idempotent: bool) -> Request:
    body = {"model": "m", "messages": [{"role": "user", "content": tag}]}
    return _request(
        tag, RequestKind.CHAT, "pool", "/v1/chat/completions", body, idempotent
    )


def make_note(tag: str) -> Request:
    return _request(
        tag, RequestKind.SERVICE, "tracking", "/pickups", {"tag": tag}, False
    )


def _request(
    tag: str, kind: RequestKind, deployment: str, path: str, body: Any, idempotent: bool
) -> Request:
    return Request(
        request_id=f"r-0000-{tag}",
        account=ACCOUNT,
        deployment=deployment,
        kind=kind,
        method="POST",
        path=path,
        headers={},
        body=json.dumps(body),
        body_object="",
        body_digest=f"digest of {tag}",
        key=tag,
        idempotent=idempotent,
        priority=Priority.BATCH,
        accepted_at=1_000_000.0,
        deadline=0.0,
        prompt_tokens=10,
        max_tokens=10,
    )
