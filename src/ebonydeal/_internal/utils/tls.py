"""TLS contexts that reload renewed certificates while running."""

import os
import ssl
from typing import NamedTuple

from mode import Service

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.logs import get_logger
from ebonydeal._internal.settings.sections import TlsSettings
from ebonydeal._internal.utils.clock import Clock

logger = get_logger("tls")


class _FileStamp(NamedTuple):
    """Metadata by which a renewed file is recognized."""

    modified_ns: int
    size: int
    inode: int


class TlsContexts(Service):
    """One server and one client context, shared by all listeners and clients.

    A context can load a new certificate chain at any time: new connections use it,
    open ones are unaffected. As long as the new files can't be loaded (incomplete,
    or the key doesn't match the certificate), the old ones stay in use.

    Parameters
    ----------
    cfg : TlsSettings
        Files, and how often to check them.
    clock : Clock
        Time.

    Raises
    ------
    EbonydealError
        BAD_SETTINGS if the files can't be loaded at the start.
    """

    def __init__(self, cfg: TlsSettings, clock: Clock) -> None:
        super().__init__()
        self._cfg = cfg
        self._clock = clock
        self.server: ssl.SSLContext | None = None
        self.client: ssl.SSLContext | None = None
        self._stamps: tuple[_FileStamp, ...] = ()
        if cfg.enabled:
            self._build_contexts()

    @classmethod
    def from_config(cls, cfg: TlsSettings, clock: Clock) -> "TlsContexts":
        """Build from ``[tls]``."""
        return cls(cfg, clock)

    def _build_contexts(self) -> None:
        """Build both contexts; raises BAD_SETTINGS."""
        cfg = self._cfg
        try:
            self._stamps = self._read_stamps()
            self.server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            self.server.load_cert_chain(cfg.certificate, cfg.private_key)
            self.client = ssl.create_default_context(
                ssl.Purpose.SERVER_AUTH, cafile=cfg.authority or None
            )
        except (OSError, ssl.SSLError) as exc:
            detail = f"[tls] files can't be loaded: {exc}"
            raise EbonydealError(ErrorKind.BAD_SETTINGS, detail) from exc

    def _read_stamps(self) -> tuple[_FileStamp, ...]:
        """Return the current stamps of the files; raises OSError."""
        cfg = self._cfg
        names = [cfg.certificate, cfg.private_key]
        if cfg.authority:
            names.append(cfg.authority)
        stats = [os.stat(name) for name in names]
        return tuple(_FileStamp(st.st_mtime_ns, st.st_size, st.st_ino) for st in stats)

    def reload(self) -> bool:
        """Load the files if they changed; return whether new ones were loaded."""
        if self.server is None or self.client is None:
            return False
        cfg = self._cfg
        try:
            stamps = self._read_stamps()
            if stamps == self._stamps:
                return False
            # Load into a temporary context first: a failed load may leave a context
            # partly changed.
            temporary = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            temporary.load_cert_chain(cfg.certificate, cfg.private_key)
            self.server.load_cert_chain(cfg.certificate, cfg.private_key)
            if cfg.authority:
                self.client.load_verify_locations(cafile=cfg.authority)
        except (OSError, ssl.SSLError) as exc:
            logger.error("Renewed certificates can't be loaded.", reason=str(exc))
            return False
        self._stamps = stamps
        logger.info("Renewed certificates are in use.")
        return True

    @Service.task
    async def _reload_periodically(self) -> None:
        while self._cfg.enabled and not self.should_stop:
            await self._clock.sleep(self._cfg.reload_seconds)
            self.reload()
