"""Stores large request bodies and answers in the object store.

While the object store is down, a body that still fits a journal row is stored
there instead.
"""

from xxhash import xxh3_128_hexdigest

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.journal.rows import (
    bodies_prefix,
    body_object,
    snapshots_prefix,
)
from ebonydeal._internal.models.requests import Request, StoredAnswer
from ebonydeal._internal.outside.interfaces import Objects
from ebonydeal._internal.settings.journal import JournalSettings

_FALLBACK_ROW_SHARE = 0.5


class Bodies:
    """Bodies of one shard during one epoch."""

    def __init__(
        self, objects: Objects, shard: int, epoch: int, cfg: JournalSettings
    ) -> None:
        self._objects = objects
        self._shard = shard
        self._epoch = epoch
        self._max_inline_bytes = cfg.inline_bytes
        self._max_fallback_bytes = int(cfg.max_row_bytes * _FALLBACK_ROW_SHARE)

    async def _store(self, request_id: str, text: str) -> str:
        """Return the object that holds ``text``, or "" to store it inline."""
        data = text.encode()
        if len(data) <= self._max_inline_bytes:
            return ""
        digest = xxh3_128_hexdigest(data)
        name = body_object(self._shard, self._epoch, request_id, digest)
        try:
            await self._objects.put(name, data)
        except EbonydealError:
            if len(data) <= self._max_fallback_bytes:
                return ""
            raise
        return name

    async def store_request(self, request: Request) -> Request:
        """Return ``request`` as it goes into a record.

        Raises ``JOURNAL_UNAVAILABLE`` when its body can be stored nowhere.
        """
        try:
            name = await self._store(request.request_id, request.body)
        except EbonydealError as exc:
            raise EbonydealError(
                ErrorKind.JOURNAL_UNAVAILABLE,
                "The object store does not accept the request's body.",
            ) from exc
        if not name:
            return request
        return request._replace(body="", body_object=name)

    async def store_answer(self, request_id: str, answer: StoredAnswer) -> StoredAnswer:
        """Return ``answer`` as it goes into a record; raises the store's errors."""
        name = await self._store(request_id, answer.body)
        if not name:
            return answer
        return answer._replace(body="", body_object=name)

    async def load_request_body(self, request: Request) -> str:
        """Return a request's body text; raises the store's errors."""
        return await self._load(request.body, request.body_object)

    async def load_answer(self, answer: StoredAnswer) -> StoredAnswer:
        """Return ``answer`` with its body text; raises the store's errors."""
        body = await self._load(answer.body, answer.body_object)
        return answer._replace(body=body, body_object="")

    async def _load(self, inline: str, name: str) -> str:
        if not name:
            return inline
        data = await self._objects.get(name)
        if data is None:
            raise EbonydealError(
                ErrorKind.STORE_UNAVAILABLE, f"object {name} is missing"
            )
        return data.decode()

    async def delete(self, names: list[str]) -> None:
        """Delete objects until a store error; the next sweep deletes the others."""
        for name in names:
            try:
                await self._objects.delete(name)
            except EbonydealError:
                return

    async def earlier_objects(self) -> list[str]:
        """Return the shard's objects of earlier epochs.

        Objects of later epochs exist too if this process was paused during a
        takeover. They belong to the new owner, so this one must not delete them.
        """
        found: list[str] = []
        for prefix in (bodies_prefix(self._shard), snapshots_prefix(self._shard)):
            before = f"{prefix}{self._epoch:08d}-"
            names = await self._objects.names(prefix)
            found += [name for name in names if name < before]
        return found
