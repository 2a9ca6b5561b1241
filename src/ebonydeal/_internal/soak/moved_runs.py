"""KV caches of runs that endpoints of a soak stop or copy, and refused moves."""

from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

from ebonydeal._internal.models.forwarding import MigrationOrder


class MoveRefusal(StrEnum):
    """How endpoints refuse to have runs moved."""

    NONE = "none"
    NO_ROOM = "there is no room for a run"
    NO_ROOM_AT_STOP = "there is no room once the run is stopped"
    FIRST_REQUEST = "the first request with a handle is not run"


@dataclass
class _KvCache:
    """A run's KV cache, and the addresses of the endpoints that hold it."""

    request_id: str
    addresses: set[str]
    was_refused: bool = False


class KvCaches:
    """The KV caches of all endpoints, by address of their source and handle.

    Attributes
    ----------
    refusal : MoveRefusal
        How moves are refused now.
    """

    def __init__(self) -> None:
        self.refusal = MoveRefusal.NONE
        self._caches: dict[str, _KvCache] = {}
        self._handles = 0

    def move(self, source: str, order: MigrationOrder) -> tuple[HTTPStatus, str]:
        """Copy the KV cache of a run; return the status and its handle, or "".

        Only that of a stopped run can be used.
        """
        is_refused = self.refusal is MoveRefusal.NO_ROOM or (
            self.refusal is MoveRefusal.NO_ROOM_AT_STOP and order.stops
        )
        status = HTTPStatus.SERVICE_UNAVAILABLE if is_refused else HTTPStatus.OK
        if is_refused and not order.stops:
            return status, ""
        self._handles += 1
        handle = f"kv-{self._handles}"
        if order.stops:
            addresses = {source} if is_refused else {source, order.target}
            cache = _KvCache(order.request_id, addresses)
            self._caches[f"{source}/{handle}"] = cache
        return status, handle

    def take(self, address: str, kv_cache: str, request_id: str) -> bool:
        """Return whether an endpoint runs a request with a KV cache, which is used."""
        cache = self._caches.get(kv_cache)
        if (
            cache is None
            or cache.request_id != request_id
            or address not in cache.addresses
        ):
            return False
        if self.refusal is MoveRefusal.FIRST_REQUEST and not cache.was_refused:
            cache.was_refused = True
            return False
        del self._caches[kv_cache]
        return True

    def unused_at(self, address: str) -> list[str]:
        """Return the stopped runs whose KV cache an endpoint holds."""
        caches = self._caches.values()
        return [cache.request_id for cache in caches if address in cache.addresses]
