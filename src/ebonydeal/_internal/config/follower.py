"""Each process's view of the configuration: table first, peers meanwhile."""

import random
from collections.abc import Callable
from typing import TypeVar

from mode import Service

from ebonydeal._internal.config.rows import (
    PARSE_ERRORS,
    VersionInfo,
    read_content,
    read_head,
    read_versions,
)
from ebonydeal._internal.config.topic import ConfigTopic
from ebonydeal._internal.errors import EbonydealError
from ebonydeal._internal.models.document import Document
from ebonydeal._internal.observe.counters import Event, Metrics, RetryReason, Timing
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.outside.interfaces import Tables
from ebonydeal._internal.settings.config import ConfigSettings
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("config")

T = TypeVar("T")

Callback = Callable[[Document], None]
VersionCallback = Callable[[VersionInfo], None]

_DEFAULTS = ConfigSettings()
_JITTER = 0.25
# More versions behind than this: reading the whole content is cheaper.
_MAX_DELTAS = 32


def poll_interval(cfg: ConfigSettings, process_count: int) -> float:
    """Return seconds between two polls of one of ``process_count`` processes."""
    return max(cfg.shortest_poll, process_count / cfg.polls_per_s)


class ConfigFollower(Service):
    """Follows the configuration; never goes back to an older version.

    Parameters
    ----------
    tables : Tables
        Where the head is polled.
    metrics : Metrics
        Counters, and the time from acceptance to here (``CONFIG_SPREAD``).
    clock : Clock
        For waits and spread times.
    rng : random.Random
        For jitter.
    nodes : callable, optional
        Returns how many processes poll; the poll interval grows with it.
    cfg : ConfigSettings, optional
        Poll interval.
    """

    def __init__(
        self,
        tables: Tables,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        process_count: Callable[[], int] = lambda: 1,
        cfg: ConfigSettings = _DEFAULTS,
    ) -> None:
        super().__init__()
        self._tables = tables
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._process_count = process_count
        self._cfg = cfg
        self._callbacks: list[Callback] = []
        self._version_callbacks: list[VersionCallback] = []
        self.topic = ConfigTopic(metrics, self._on_adopted)

    @classmethod
    def from_config(
        cls,
        cfg: ConfigSettings,
        tables: Tables,
        metrics: Metrics,
        clock: Clock,
        rng: random.Random,
        process_count: Callable[[], int] = lambda: 1,
    ) -> "ConfigFollower":
        """Build from ``[config]``."""
        return cls(tables, metrics, clock, rng, process_count, cfg)

    @property
    def document(self) -> Document:
        """The highest version seen; `EMPTY_DOCUMENT` before the first."""
        return self.topic.document

    def on_change(self, callback: Callback) -> None:
        """Call ``callback`` with each new document, in order of versions."""
        self._callbacks.append(callback)

    def on_version(self, callback: VersionCallback) -> None:
        """Call ``callback`` with each version whose row was adopted."""
        self._version_callbacks.append(callback)

    def _on_adopted(self, document: Document, info: VersionInfo | None) -> None:
        """Time the spread and tell the callbacks."""
        if info is not None:
            spread = max(0.0, self._clock.wall() - info.at)
            self._metrics.timed(Timing.CONFIG_SPREAD, spread)
            _notify(self._version_callbacks, info)
        logger.info("Adopted a document.", version=document.version)
        _notify(self._callbacks, document)

    async def refresh(self) -> None:
        """Read the head once, and what is newer; raises if the table is out."""
        head = await read_head(self._tables)
        mine = self.topic.content.version
        if head == mine:
            return
        if head < mine:
            self._metrics.count(Event.CONFIG_OLDER_IGNORED)
            return
        if mine and head - mine <= _MAX_DELTAS:
            self.topic.adopt_versions(await read_versions(self._tables, mine, head))
        if self.topic.content.version < head:
            self.topic.adopt_content(await read_content(self._tables))

    async def try_refresh(self) -> bool:
        """Refresh; return False, counted and logged, if the table is out."""
        try:
            await self.refresh()
        except EbonydealError as exc:
            self._metrics.retried(RetryReason.STORE)
            logger.debug("The table gives no configuration.", kind=str(exc.kind))
            return False
        except PARSE_ERRORS as exc:
            logger.error("The table's configuration is unusable.", exc=str(exc))
            return False
        return True

    @Service.task
    async def _poll(self) -> None:
        """Poll until stopped."""
        while not self.should_stop:
            await self.try_refresh()
            spread = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
            await self._clock.sleep(
                poll_interval(self._cfg, self._process_count()) * spread
            )


def _notify(callbacks: list[Callable[[T], None]], news: T) -> None:
    """Call all; one that fails neither stops the others nor the following."""
    for callback in callbacks:
        try:
            callback(news)
        except Exception as exc:
            logger.error("A listener failed.", exc_info=exc)
