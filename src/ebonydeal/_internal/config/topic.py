"""The configuration as peers carry it: no sockets, no clock.

A process that has a newer version answers with the versions in between, or, if
it no longer has them or they are too large, with the whole content in parts.
Nothing here ever replaces a version by an older one.
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
        Counts what was adopted and what was too old.
    on_adopted : callable
        Called with each newly adopted document, and the version's row where
        it is known.
    limit : int
        Most bytes of one payload; a single larger item still goes alone.
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
        """Apply versions that follow the present one without a gap."""
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
        """Take a whole content if it is newer."""
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
            logger.error("A version is unusable.", version=content.version, exc=exc)
            return False
        self.content = content
        self.document = document
        self._metrics.count(Event.CONFIG_ADOPTED)
        self._on_adopted(document, info)
        return True

    # --- peers ---------------------------------------------------------------
    def digest(self) -> dict[str, Any]:
        """Return what this process has, for a peer to compare."""
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

        None if they are no longer kept, or the first alone is larger.
        """
        rows = [info.to_row() for info in self._recent if info.version > version]
        if not rows or rows[0]["version"] != version + 1:
            return None
        fitting = _fitting_prefix(rows, limit)
        return {"versions": fitting} if fitting else None

    def _content_part(self, start: int) -> dict[str, Any]:
        """Return a part of the whole content, from item ``start``."""
        items = self._sorted_items(self.content.items)
        left = items[start:]
        return {
            "whole": self.content.version,
            "start": start,
            "total": len(items),
            "items": _fitting_prefix(left, self._limit) or left[:1],
        }

    @staticmethod
    def _sorted_items(items: Items) -> list[list[Any]]:
        """Return items in an order that every process agrees on."""
        return [[key.section, key.name, items[key]] for key in sorted(items)]

    def receive(self, payload: Any) -> None:
        """Take a peer's answer; garbage is logged and dropped."""
        try:
            match payload:
                case list(rows) | {"versions": list(rows)}:
                    self.adopt_versions([VersionInfo.from_row(row) for row in rows])
                case {"whole": int(version), "items": list(items)}:
                    start, total = int(payload["start"]), int(payload["total"])
                    self._receive_part(version, start, total, items)
                case _:
                    raise ValueError("neither versions nor a whole")
        except PARSE_ERRORS as exc:
            logger.warning("A peer's configuration is unusable.", exc=str(exc))

    def _receive_part(
        self, version: int, start: int, total: int, items: list[list[Any]]
    ) -> None:
        """Collect parts of one version until it is whole."""
        if version <= self.content.version:
            self._metrics.count(Event.CONFIG_OLDER_IGNORED)
            return
        have, got = self._partial
        if start == 0 and version > have:
            got = []
        elif version != have or start != len(got):
            return
        got = [*got, *items]
        self._partial = (version, got)
        if len(got) < total:
            return
        self._partial = (0, [])
        whole = {ItemKey(str(a), str(b)): dict(value) for a, b, value in got}
        self.adopt_content(Content(version, whole))


def _fitting_prefix(messages: list[Any], limit: int) -> list[Any]:
    """Return the first messages that fit into ``limit`` bytes of JSON together."""
    size = 0
    for index, message in enumerate(messages):
        size += len(json.dumps(message, ensure_ascii=False).encode())
        if size > limit:
            return messages[:index]
    return messages
