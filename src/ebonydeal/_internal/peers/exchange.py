"""Messages of a gossip round, without transport; pure.

A sends its digests to B. B responds with what A lacks and with its own digests.
If B lacks something, A pushes it along with its now more detailed digests, and B
responds with what A still lacks.
"""

from typing import Any

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.peers.membership import Member, Membership
from ebonydeal._internal.peers.topics import Topic


class GossipExchange:
    """Builds and handles the messages of rounds and pushes.

    Parameters
    ----------
    membership : Membership
        Identifies this process, and is updated with the senders of messages.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._topics: dict[str, Topic] = {}

    def register(self, topic: Topic) -> None:
        """Add a topic to the messages."""
        self._topics[topic.name] = topic

    def build_request(self) -> dict[str, Any]:
        """Return the message that opens a round."""
        return self._message({})

    def handle_request(self, message: dict[str, Any], now: float) -> dict[str, Any]:
        """Handle the request that opens a round; return the response."""
        self.merge_sender(message, now)
        return self._message(self._missing_payloads(message.get("digests")))

    def handle_response(
        self, response: dict[str, Any], member_id: str, now: float
    ) -> dict[str, Any] | None:
        """Handle the response; return a push of what the peer lacks, or None.

        ``member_id`` is the peer that was called; empty if only its address is
        known. Raises INTERNAL if another node responded.
        """
        node = Member.from_wire(response.get("node"))
        if node is None or (member_id and node.id != member_id):
            raise EbonydealError(
                ErrorKind.INTERNAL, f"another node responded instead of {member_id}"
            )
        self._membership.merge(node, now)
        self.apply_payloads(response)
        payloads = self._missing_payloads(response.get("digests"))
        return self._message(payloads) if payloads else None

    def build_push(self, payloads: dict[str, Any]) -> dict[str, Any]:
        """Return a push message without digests."""
        return {"node": self._membership.own.to_wire(), "payloads": payloads}

    def handle_push(self, message: dict[str, Any], now: float) -> dict[str, Any]:
        """Handle a push; return what the sender lacks by its digests, if any."""
        self.merge_sender(message, now)
        self.apply_payloads(message)
        payloads = self._missing_payloads(message.get("digests"))
        return {"payloads": payloads} if payloads else {}

    def apply_payloads(self, message: dict[str, Any]) -> None:
        """Pass the payloads of a message to their topics."""
        payloads = message.get("payloads")
        for name, payload in payloads.items() if isinstance(payloads, dict) else ():
            topic = self._topics.get(name)
            if topic is not None:
                topic.receive(payload)

    def merge_sender(self, message: dict[str, Any], now: float) -> None:
        """Merge the sender into the membership; raises BAD_REQUEST without one."""
        node = Member.from_wire(message.get("node"))
        if node is None:
            raise EbonydealError(ErrorKind.BAD_REQUEST, "no valid node in the message")
        self._membership.merge(node, now)

    def _message(self, payloads: dict[str, Any]) -> dict[str, Any]:
        """Return a message with this node, all digests, and payloads if any."""
        message: dict[str, Any] = {
            "node": self._membership.own.to_wire(),
            "digests": {name: topic.digest() for name, topic in self._topics.items()},
        }
        if payloads:
            message["payloads"] = payloads
        return message

    def _missing_payloads(self, digests: Any) -> dict[str, Any]:
        """Return what a peer with these digests lacks, by topic."""
        payloads = {}
        for name, digest in digests.items() if isinstance(digests, dict) else ():
            topic = self._topics.get(name)
            payload = None if topic is None else topic.payload_for(digest)
            if payload is not None:
                payloads[name] = payload
        return payloads
