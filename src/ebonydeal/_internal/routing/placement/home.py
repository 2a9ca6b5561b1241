"""The endpoint that a prompt prefix belongs to when nothing else is known.

Copies of one prefix on many endpoints push other prefixes out. So every gateway
computes the same home for a prefix, without talking to others: rendezvous
hashing of the session, else of the first block after the part of the prompt
that many different prompts share. Where that part ends is learned: it is the
first block with several different successors.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from ebonydeal._internal.routing.placement.subset import rank

_BRANCHES = 8
_ROOT = ""


class Branches:
    """Which blocks many different prompts share.

    Parameters
    ----------
    most : int
        Blocks remembered.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._next: OrderedDict[str, set[str]] = OrderedDict()

    def learn(self, blocks: Sequence[str]) -> None:
        """Take a prompt's blocks."""
        for index in range(len(blocks) - 1, -1, -1):
            parent = blocks[index - 1] if index else _ROOT
            known = self._next.setdefault(parent, set())
            if blocks[index] in known:
                # Its prefixes were learned together with it.
                break
            if len(known) < _BRANCHES:
                known.add(blocks[index])
        while len(self._next) > self._most:
            self._next.popitem(last=False)

    def split(self, blocks: Sequence[str]) -> int:
        """Return the index of the first block after the shared part, or -1."""
        parent = _ROOT
        for index, block in enumerate(blocks):
            known = self._next.get(parent)
            if known is not None and len(known) >= _BRANCHES:
                return index
            parent = block
        return -1


def home_of(key: str, endpoint_ids: Iterable[str]) -> str:
    """Return the endpoint with the highest rendezvous rank for ``key``."""
    return max(endpoint_ids, key=lambda name: rank(key, name))
