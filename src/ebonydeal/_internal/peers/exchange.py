"""What is said in a round, apart from how it is carried; pure.

A asks B with its digests. B answers with what A lacks and with its own digests.
If B lacks something, A sends it, with digests that show more detail by now, and
B answers with what those still miss.
"""

from typing import Any

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.peers.membership import Member, Membership
from ebonydeal._internal.peers.topics import Topic


class GossipExchange:
    """Composes and takes in the messages of rounds and pushes.

    Parameters
    ----------
    membership : Membership
        Names the own process, and learns of peers from what they send.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._topics: dict[str, Topic] = {}

    def register(self, topic: Topic) -> None:
        """Carry a further topic."""
        self._topics[topic.name] = topic

    def build_request(self) -> dict[str, Any]:
        """Return the message that opens a round."""
        return self._message({})

    def handle_request(self, message: dict[str, Any], now: float) -> dict[str, Any]:
        """Take in a round's opening; return the answer to it."""
        self.merge_sender(message, now)
        return self._message(self._missing_payloads(message.get("digests")))

    def handle_response(
        self, answer: dict[str, Any], member_id: str, now: float
    ) -> dict[str, Any] | None:
        """Take in the answer; return what the peer lacks, or None.

        ``member_id`` is who was asked; empty if only its address is known.
        Raises INTERNAL where another node answered.
        """
        node = Member.from_wire(answer.get("node"))
        if node is None or (member_id and node.id != member_id):
            raise EbonydealError(ErrorKind.INTERNAL, f"{member_id} is another node")
        self._membership.merge(node, now)
        self.apply_payloads(answer)
        payloads = self._missing_payloads(answer.get("digests"))
        return self._message(payloads) if payloads else None

    def build_push(self, payloads: dict[str, Any]) -> dict[str, Any]:
        """Return the message of a push."""
        return {"node": self._membership.own.to_wire(), "payloads": payloads}

    def handle_push(self, message: dict[str, Any], now: float) -> dict[str, Any]:
        """Take in a push or a closing; return what its digests lack."""
        self.merge_sender(message, now)
        self.apply_payloads(message)
        payloads = self._missing_payloads(message.get("digests"))
        return {"payloads": payloads} if payloads else {}

    def apply_payloads(self, message: dict[str, Any]) -> None:
        """Take in the payloads of a message, by topic."""
        payloads = message.get("payloads")
        for name, payload in payloads.items() if isinstance(payloads, dict) else ():
            topic = self._topics.get(name)
            if topic is not None:
                topic.receive(payload)

    def merge_sender(self, message: dict[str, Any], now: float) -> None:
        """Take in the sender's identity; raises BAD_REQUEST without one."""
        node = Member.from_wire(message.get("node"))
        if node is None:
            raise EbonydealError(ErrorKind.BAD_REQUEST, "no valid node in the message")
        self._membership.merge(node, now)

    def _message(self, payloads: dict[str, Any]) -> dict[str, Any]:
        """Return the own identity, all digests, and payloads if any."""
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
