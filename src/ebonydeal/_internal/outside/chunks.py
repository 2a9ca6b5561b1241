"""Parse the server-sent events of an engine into validated chunks."""

import json
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.interfaces import Chunk

DONE = "[DONE]"
_DATA_PREFIX = "data:"


def _garbage_error(detail: str) -> EbonydealError:
    return EbonydealError(ErrorKind.ENDPOINT_GARBAGE, detail)


async def event_data(lines: AsyncIterator[bytes]) -> AsyncGenerator[str, None]:
    """Yield the data of each event; skip comments and other fields."""
    async for raw in lines:
        try:
            line = raw.decode().rstrip("\r\n")
        except UnicodeDecodeError as exc:
            raise _garbage_error("the stream is not UTF-8") from exc
        if line.startswith(_DATA_PREFIX):
            yield line[len(_DATA_PREFIX) :].lstrip(" ")
        elif line and not line.startswith((":", "event:", "id:", "retry:")):
            raise _garbage_error(
                "the stream contains a line that is not part of an event"
            )


def parse_chunk(data: str) -> tuple[Chunk, Any]:
    """Return a chunk and the load message sent with it, or None without one.

    Raises ENDPOINT_GARBAGE if the message is malformed.
    """
    try:
        message = json.loads(data)
        choice = message["choices"][0]
        text = choice["text"] if "text" in choice else choice["delta"]["content"]
        usage = message.get("usage_start") or {}
        chunk = Chunk(
            position=message["position"],
            text=text,
            finish=choice.get("finish_reason") or "",
            cached_tokens=int(usage.get("cached_tokens", 0)),
            prefilled_tokens=int(usage.get("prefilled_tokens", 0)),
        )
    except (
        KeyError,
        IndexError,
        TypeError,
        ValueError,
        AttributeError,
        RecursionError,
    ) as exc:
        raise _garbage_error("a chunk can't be parsed") from exc
    if type(chunk.position) is not int or not isinstance(chunk.text, str):
        raise _garbage_error("a chunk has a field of the wrong type")
    return chunk, message.get("load")


class ChunkOrder:
    """Checks that chunk positions are consecutive.

    Parameters
    ----------
    start : int
        Position of the first chunk: the number of tokens already delivered.
    """

    def __init__(self, start: int) -> None:
        self._next = start
        self.finished = False

    def check(self, chunk: Chunk) -> None:
        """Raise ENDPOINT_GARBAGE if ``chunk`` is not the next one."""
        if self.finished:
            raise _garbage_error("a chunk arrived after the last one")
        if chunk.position != self._next:
            raise _garbage_error(
                f"token {chunk.position} arrived instead of {self._next}"
            )
        self._next += 1
        self.finished = bool(chunk.finish)
