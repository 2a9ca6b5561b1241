"""Each process's view of the configuration, read from the table and from peers."""

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
# A process that is more versions behind reads the complete content, which is cheaper.
_MAX_DELTAS = 32


def poll_interval(cfg: ConfigSettings, process_count: int) -> float:
    """Return seconds between two polls of one of ``process_count`` processes."""
    return max(cfg.shortest_poll, process_count / cfg.polls_per_s)


class ConfigFollower(Service):
    """Follows the configuration; never goes back to an older version.

    Parameters
    ----------
    tables : Tables
        The table service whose head is polled.
    metrics : Metrics
        Counters, and the time from acceptance to adoption (``CONFIG_SPREAD``).
    clock : Clock
        For waits and spread times.
    rng : random.Random
        For jitter.
    process_count : callable, optional
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
        """The document of the highest version seen; at first `EMPTY_DOCUMENT`."""
        return self.topic.document

    def on_change(self, callback: Callback) -> None:
        """Call ``callback`` with each new document, in order of versions."""
        self._callbacks.append(callback)

    def on_version(self, callback: VersionCallback) -> None:
        """Call ``callback`` with each version whose row was adopted."""
        self._version_callbacks.append(callback)

    def _on_adopted(self, document: Document, info: VersionInfo | None) -> None:
        """Record the spread time and run the callbacks."""
        if info is not None:
            spread = max(0.0, self._clock.wall() - info.at)
            self._metrics.record_duration(Timing.CONFIG_SPREAD, spread)
            _notify(self._version_callbacks, info)
        logger.info("Adopted a configuration version.", version=document.version)
        _notify(self._callbacks, document)

    async def refresh(self) -> None:
        """Read the head once, and newer versions; raises if the table fails."""
        head = await read_head(self._tables)
        own = self.topic.content.version
        if head == own:
            return
        if head < own:
            self._metrics.count(Event.CONFIG_OLDER_IGNORED)
            return
        if own and head - own <= _MAX_DELTAS:
            self.topic.adopt_versions(await read_versions(self._tables, own, head))
        if self.topic.content.version < head:
            self.topic.adopt_content(await read_content(self._tables))

    async def try_refresh(self) -> bool:
        """Refresh; on failure, count and log it and return False."""
        try:
            await self.refresh()
        except EbonydealError as exc:
            self._metrics.count_retry(RetryReason.STORE)
            logger.debug("Configuration could not be read.", kind=str(exc.kind))
            return False
        except PARSE_ERRORS as exc:
            logger.error("Configuration rows in the table are invalid.", exc=str(exc))
            return False
        return True

    @Service.task
    async def _poll(self) -> None:
        """Poll until stopped."""
        while not self.should_stop:
            await self.try_refresh()
            jitter = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
            await self._clock.sleep(
                poll_interval(self._cfg, self._process_count()) * jitter
            )


def _notify(callbacks: list[Callable[[T], None]], update: T) -> None:
    """Run all callbacks; a fault in one must not stop the others or the follower."""
    for callback in callbacks:
        try:
            callback(update)
        except Exception as exc:
            logger.error("A callback raised an exception.", exc_info=exc)
