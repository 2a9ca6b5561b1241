"""The home of a prompt prefix: the endpoint that it goes to by default.

Copies of one prefix on many endpoints evict other prefixes. So every gateway computes
the same home for a prefix without communication, by rendezvous hashing of the session,
or else of the first block after the part of the prompt that many different prompts
share. The end of that part is learned: it is the first block that has many different
successors.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from ebonydeal._internal.routing.placement.subset import rank

_MIN_SUCCESSORS = 8
_ROOT = ""


class SharedPrefixes:
    """Learns which leading blocks are shared by many different prompts.

    Parameters
    ----------
    max_blocks : int
        Blocks remembered.
    """

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._successors: OrderedDict[str, set[str]] = OrderedDict()

    def learn(self, blocks: Sequence[str]) -> None:
        """Add a prompt's blocks."""
        for index in range(len(blocks) - 1, -1, -1):
            parent = blocks[index - 1] if index else _ROOT
            known = self._successors.setdefault(parent, set())
            if blocks[index] in known:
                # The blocks before it were added together with it.
                break
            if len(known) < _MIN_SUCCESSORS:
                known.add(blocks[index])
        while len(self._successors) > self._max_blocks:
            self._successors.popitem(last=False)

    def split(self, blocks: Sequence[str]) -> int:
        """Return the index of the first block after the shared part, or -1."""
        parent = _ROOT
        for index, block in enumerate(blocks):
            known = self._successors.get(parent)
            if known is not None and len(known) >= _MIN_SUCCESSORS:
                return index
            parent = block
        return -1


def home_endpoint(key: str, endpoint_ids: Iterable[str]) -> str:
    """Return the endpoint with the highest rendezvous rank for ``key``."""
    return max(endpoint_ids, key=lambda name: rank(key, name))
