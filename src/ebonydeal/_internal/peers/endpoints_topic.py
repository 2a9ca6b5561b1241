"""Gossip topic that spreads the instance list as single processes read it."""

from collections.abc import Callable
from typing import Any

from ebonydeal._internal.directory.sharing import EndpointRecord, SharedInstanceList
from ebonydeal._internal.peers.topics import MAX_PAYLOAD_ITEMS, HashedDigest


class EndpointsTopic:
    """Records of the instance list.

    Parameters
    ----------
    shared : SharedInstanceList
        The records that this process holds.
    receive : callable
        Called with records that a peer sent (`Directory.receive_records`).
    """

    name = "endpoints"

    def __init__(
        self,
        shared: SharedInstanceList,
        receive: Callable[[list[EndpointRecord]], None],
    ) -> None:
        self._shared = shared
        self._receive = receive
        self._digest = HashedDigest(shared.hashes)

    def digest(self) -> Any:
        """Return the hash over all records, with bucket hashes after a difference."""
        return self._digest.build()

    def payload_for(self, peer_digest: Any) -> Any | None:
        """Return the newest records of the buckets that differ."""
        found = self._shared.in_buckets(self._digest.differing_buckets(peer_digest))
        found.sort(key=lambda record: -record.at)
        return [record.to_wire() for record in found[:MAX_PAYLOAD_ITEMS]] or None

    def receive(self, payload: Any) -> None:
        """Merge a list of records; skip malformed ones."""
        items = payload if isinstance(payload, list) else []
        records = [EndpointRecord.from_wire(item) for item in items]
        self._receive([record for record in records if record is not None])
