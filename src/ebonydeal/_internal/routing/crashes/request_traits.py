"""What a request has in common with others, by which crashes are attributed."""

from collections.abc import Sequence
from hashlib import blake2b
from typing import NamedTuple

# A collision would hold one part responsible for crashes that another caused.
_PART_DIGEST_BYTES = 8
# Prompts have a few shared parts; a bound on what a request can add to the evidence.
MAX_PARTS = 16


class RequestTraits(NamedTuple):
    """What a request has in common with others that may crash endpoints.

    Attributes
    ----------
    digest : str
        Identifies equal requests, whatever their ids.
    account : str
        Name of the client account; empty if the route requires none.
    parts : tuple of str
        Digests of the prompt parts that it may share, in the prompt's order.
    """

    digest: str
    account: str = ""
    parts: tuple[str, ...] = ()

    @classmethod
    def of_prompt(
        cls, digest: str, account: str, part_ids: Sequence[str]
    ) -> "RequestTraits":
        """Return the traits of a request; ``part_ids`` are all parts of its prompt.

        The last part is the request's own, so no other request has it.
        """
        shared = part_ids[:-1][:MAX_PARTS]
        return cls(digest, account, tuple(_part_digest(part) for part in shared))


def _part_digest(part_id: str) -> str:
    """Return the digest of a part's id, which must not be logged: clients choose it."""
    data = part_id.encode("utf-8", "surrogateescape")
    return blake2b(data, digest_size=_PART_DIGEST_BYTES).hexdigest()
