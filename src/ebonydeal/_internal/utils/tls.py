"""TLS contexts from settings, with certificates renewed while running."""

import os
import ssl
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.settings.sections import TlsSettings
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("tls")


class _Stamp(NamedTuple):
    """What tells a renewed file from the old one."""

    modified_ns: int
    size: int
    inode: int


class TlsContexts(Service):
    """One server and one client context, shared by all listeners and clients.

    A context may load a new chain at any time: connections made from then on
    use it, and open ones go on. While a new pair of files can't be loaded (half
    written, key of another certificate) the old one stays in use.

    Parameters
    ----------
    cfg : TlsSettings
        Files, and how often to look at them.
    clock : Clock
        Time.

    Raises
    ------
    EbonydealError
        BAD_SETTINGS where the files can't be used at the start.
    """

    def __init__(self, cfg: TlsSettings, clock: Clock) -> None:
        super().__init__()
        self._cfg = cfg
        self._clock = clock
        self.server: ssl.SSLContext | None = None
        self.client: ssl.SSLContext | None = None
        self._stamps: tuple[_Stamp, ...] = ()
        if cfg.enabled:
            self._make()

    @classmethod
    def from_config(cls, cfg: TlsSettings, clock: Clock) -> "TlsContexts":
        """Build from ``[tls]``."""
        return cls(cfg, clock)

    def _make(self) -> None:
        """Build both contexts; raises BAD_SETTINGS."""
        cfg = self._cfg
        try:
            self._stamps = self._look()
            self.server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            self.server.load_cert_chain(cfg.certificate, cfg.private_key)
            self.client = ssl.create_default_context(
                ssl.Purpose.SERVER_AUTH, cafile=cfg.authority or None
            )
        except (OSError, ssl.SSLError) as exc:
            detail = f"[tls] files can't be used: {exc}"
            raise EbonydealError(ErrorKind.BAD_SETTINGS, detail) from exc

    def _look(self) -> tuple[_Stamp, ...]:
        """Return the present stamps of the files; raises OSError."""
        cfg = self._cfg
        names = [cfg.certificate, cfg.private_key]
        if cfg.authority:
            names.append(cfg.authority)
        stats = [os.stat(name) for name in names]
        return tuple(_Stamp(st.st_mtime_ns, st.st_size, st.st_ino) for st in stats)

    def reload(self) -> bool:
        """Load the files if they changed; return whether new ones are in use."""
        if self.server is None or self.client is None:
            return False
        cfg = self._cfg
        try:
            stamps = self._look()
            if stamps == self._stamps:
                return False
            # A trial first: a failed load may leave a context half changed.
            trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            trial.load_cert_chain(cfg.certificate, cfg.private_key)
            self.server.load_cert_chain(cfg.certificate, cfg.private_key)
            if cfg.authority:
                self.client.load_verify_locations(cafile=cfg.authority)
        except (OSError, ssl.SSLError) as exc:
            logger.error("Renewed certificates can't be used.", reason=str(exc))
            return False
        self._stamps = stamps
        logger.info("Renewed certificates are in use.")
        return True

    @Service.task
    async def _follow(self) -> None:
        while self._cfg.enabled and not self.should_stop:
            await self._clock.sleep(self._cfg.reload_seconds)
            self.reload()
