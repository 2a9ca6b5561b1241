"""The topic that spreads what one process read of the instance list."""

from collections.abc import Callable
from typing import Any

from ebonydeal._internal.directory.sharing import EndpointRecord, SharedInstanceList
from ebonydeal._internal.peers.topics import MAX_ITEMS, HashedDigest


class EndpointsTopic:
    """Facts of the instance list.

    Parameters
    ----------
    shared : SharedList
        What is held.
    receive : callable
        Takes in facts that a peer sent (`Directory.receive_facts`).
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
        """Return the hash over all facts, with bucket hashes when they help."""
        return self._digest.build()

    def payload_for(self, peer_digest: Any) -> Any | None:
        """Return facts of the buckets that differ."""
        found = self._shared.in_buckets(self._digest.differing_buckets(peer_digest))
        found.sort(key=lambda fact: -fact.at)
        return [fact.to_wire() for fact in found[:MAX_ITEMS]] or None

    def receive(self, payload: Any) -> None:
        """Merge a list of facts; garbage is left out."""
        items = payload if isinstance(payload, list) else []
        facts = [EndpointRecord.from_wire(item) for item in items]
        self._receive([fact for fact in facts if fact is not None])
