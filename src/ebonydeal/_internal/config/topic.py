"""Gossip topic of the configuration; uses neither sockets nor clock.

A process that has a newer version sends the versions in between or, if it no longer
has them or the first is too large, the complete content in parts. A version is
never replaced by an older one.
"""

import json
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from ebonydeal._internal.config.delta import ItemKey, Items, apply, join
from ebonydeal._internal.config.rows import (
    EMPTY_CONTENT,
    PARSE_ERRORS,
    Content,
    VersionInfo,
)
from ebonydeal._internal.models.document import EMPTY_DOCUMENT, Document
from ebonydeal._internal.observe.counters import Event, Metrics
from ebonydeal._internal.observe.logs import get_logger

logger = get_logger("config")

MAX_RECENT_VERSIONS = 64
MAX_PAYLOAD_BYTES = 64 * 1024

OnAdopted = Callable[[Document, VersionInfo | None], None]


class ConfigTopic:
    """The highest configuration that this process has seen.

    Parameters
    ----------
    metrics : Metrics
        Counts adopted versions and ignored older ones.
    on_adopted : callable
        Called with each newly adopted document, and with the version's row if it is
        known.
    limit : int
        Maximum bytes of one payload; a larger single item is sent alone.
    """

    name = "config"

    def __init__(
        self, metrics: Metrics, on_adopted: OnAdopted, limit: int = MAX_PAYLOAD_BYTES
    ) -> None:
        self._metrics = metrics
        self._on_adopted = on_adopted
        self._limit = limit
        self._recent: deque[VersionInfo] = deque(maxlen=MAX_RECENT_VERSIONS)
        self._partial: tuple[int, list[list[Any]]] = (0, [])
        self.content: Content = EMPTY_CONTENT
        self.document: Document = EMPTY_DOCUMENT

    # --- adopting ----------------------------------------------------------
    def adopt_versions(self, infos: Iterable[VersionInfo]) -> None:
        """Apply versions that follow the current one without a gap."""
        for info in infos:
            if info.version <= self.content.version:
                self._metrics.count(Event.CONFIG_OLDER_IGNORED)
                continue
            if info.version != self.content.version + 1:
                return
            items = apply(self.content.items, info.delta)
            if not self._adopt(Content(info.version, items), info):
                return
            self._recent.append(info)

    def adopt_content(self, content: Content) -> None:
        """Adopt a complete content if it is newer."""
        if content.version <= self.content.version:
            self._metrics.count(Event.CONFIG_OLDER_IGNORED)
            return
        if self._adopt(content, None):
            self._recent.clear()

    def _adopt(self, content: Content, info: VersionInfo | None) -> bool:
        """Put a content in force, unless no document can be built from it."""
        try:
            document = Document.from_config(join(content.items), content.version)
        except PARSE_ERRORS as exc:
            logger.error("Version is invalid.", version=content.version, exc=exc)
            return False
        self.content = content
        self.document = document
        self._metrics.count(Event.CONFIG_ADOPTED)
        self._on_adopted(document, info)
        return True

    # --- peers ---------------------------------------------------------------
    def digest(self) -> dict[str, Any]:
        """Return the version and partial content of this process, for peers."""
        version, items = self._partial
        return {"version": self.content.version, "partial": [version, len(items)]}

    def payload_for(self, peer_digest: Any) -> dict[str, Any] | None:
        """Return what a peer with this digest lacks; None if nothing."""
        try:
            version = int(peer_digest["version"])
            partial, count = (int(number) for number in peer_digest["partial"])
        except PARSE_ERRORS:
            return None
        if version >= self.content.version:
            return None
        return self.delta_since(version, self._limit) or self._content_part(
            count if partial == self.content.version else 0
        )

    def delta_since(self, version: int, limit: int) -> dict[str, Any] | None:
        """Return the versions after ``version`` that fit into ``limit`` bytes.

        None if they are no longer stored, or the first alone is larger.
        """
        rows = [info.to_row() for info in self._recent if info.version > version]
        if not rows or rows[0]["version"] != version + 1:
            return None
        fitting = _fitting_prefix(rows, limit)
        return {"versions": fitting} if fitting else None

    def _content_part(self, start: int) -> dict[str, Any]:
        """Return a part of the complete content, starting at item ``start``."""
        items = self._sorted_items(self.content.items)
        remaining = items[start:]
        return {
            "whole": self.content.version,
            "start": start,
            "total": len(items),
            "items": _fitting_prefix(remaining, self._limit) or remaining[:1],
        }

    @staticmethod
    def _sorted_items(items: Items) -> list[list[Any]]:
        """Return items in an order that is the same in every process."""
        return [[key.section, key.name, items[key]] for key in sorted(items)]

    def receive(self, payload: Any) -> None:
        """Apply a peer's payload; malformed data is logged and dropped."""
        try:
            match payload:
                case list(rows) | {"versions": list(rows)}:
                    self.adopt_versions([VersionInfo.from_row(row) for row in rows])
                case {"whole": int(version), "items": list(items)}:
                    start, total = int(payload["start"]), int(payload["total"])
                    self._receive_part(version, start, total, items)
                case _:
                    raise ValueError("neither versions nor a part of a content")
        except PARSE_ERRORS as exc:
            logger.warning("Peer sent an invalid configuration.", exc=str(exc))

    def _receive_part(
        self, version: int, start: int, total: int, items: list[list[Any]]
    ) -> None:
        """Collect the parts of one version, and adopt it once it is complete."""
        if version <= self.content.version:
            self._metrics.count(Event.CONFIG_OLDER_IGNORED)
            return
        partial_version, received = self._partial
        if start == 0 and version > partial_version:
            received = []
        elif version != partial_version or start != len(received):
            return
        received = [*received, *items]
        self._partial = (version, received)
        if len(received) < total:
            return
        self._partial = (0, [])
        content = {ItemKey(str(a), str(b)): dict(value) for a, b, value in received}
        self.adopt_content(Content(version, content))


def _fitting_prefix(messages: list[Any], limit: int) -> list[Any]:
    """Return the longest prefix that fits into ``limit`` bytes of JSON."""
    size = 0
    for index, message in enumerate(messages):
        size += len(json.dumps(message, ensure_ascii=False).encode())
        if size > limit:
            return messages[:index]
    return messages
