"""Bounds on the bytes of endpoints' answers that a relay holds in memory.

An answer is held until it is whole, or an event until its end. Either may never end.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ebonydeal._internal.settings.relay import RelaySettings
from ebonydeal._internal.utils.bounded_responses import EndlessAnswerError

# Small answers are read even while larger ones use up the memory for all.
_SMALL_BYTES = 262_144
_BYTES_PER_MB = 1_000_000


def hold_nothing(_size: int) -> None:
    """Do nothing with the size of an answer."""


class AnswerMemory:
    """The memory for answers of all requests.

    Parameters
    ----------
    max_answer_bytes : int
        Bytes held for one answer, or one event of a stream.
    max_total_bytes : int
        Bytes held for all of them; small answers may exceed it.
    """

    def __init__(self, max_answer_bytes: int, max_total_bytes: int) -> None:
        self._max_answer = max_answer_bytes
        self._max_total = max_total_bytes
        self.total = 0

    @classmethod
    def from_config(cls, cfg: RelaySettings) -> "AnswerMemory":
        """Build from settings."""
        return cls(
            round(cfg.max_answer_mb * _BYTES_PER_MB),
            round(cfg.max_answers_mb * _BYTES_PER_MB),
        )

    @contextmanager
    def hold(
        self, for_client: Callable[[int], None] = hold_nothing
    ) -> Iterator["HeldAnswer"]:
        """Account for one answer until the end of the block.

        ``for_client`` is called with its size; the client that it is for holds it until
        it has taken it.
        """
        held = HeldAnswer(self, for_client)
        try:
            yield held
        finally:
            self.total -= held.size

    def check(self, size: int) -> None:
        """Raise EndlessAnswerError if an answer of this size can't be held."""
        if size > self._max_answer:
            raise EndlessAnswerError(
                f"got {size} bytes of an answer; at most {self._max_answer} are held"
            )
        if size > _SMALL_BYTES and self.total > self._max_total:
            raise EndlessAnswerError(
                f"got {size} bytes of an answer while {self.total} bytes of all answers"
                f" are held, of at most {self._max_total}"
            )


class HeldAnswer:
    """The bytes of one answer that are held."""

    def __init__(self, memory: AnswerMemory, for_client: Callable[[int], None]) -> None:
        self._memory = memory
        self._for_client = for_client
        self.size = 0

    def resize(self, size: int) -> None:
        """Set how many bytes are held; raises EndlessAnswerError if too many."""
        self._memory.total += size - self.size
        self.size = size
        self._memory.check(size)
        self._for_client(size)
