import asyncio
import ssl

import pytest
from aiohttp import ClientSession, web
from cryptography import x509

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.observe.counters import Metrics
from ebonydeal._internal.settings.sections import TlsSettings
from ebonydeal._internal.utils.clock import SystemClock
from ebonydeal._internal.utils.tls import TlsContexts
from ebonydeal._internal.utils.web import HttpServer, new_app
from tests.lib.certificates import CertificateAuthority


class TlsListener:
    """A TLS listener and its certificate files."""

    def __init__(self, folder) -> None:
        self.authority = CertificateAuthority(folder)
        cert, key, self.serial = self.authority.issue()
        self.cert = cert
        self.cfg = TlsSettings(True, str(cert), str(key), str(self.authority.file))
        self.tls = TlsContexts.from_config(self.cfg, SystemClock())
        app: web.Application = new_app(Metrics())
        self.server = HttpServer(app, "127.0.0.1", 0, ssl_context=self.tls.server)

    async def __aenter__(self) -> "TlsListener":
        await self.server.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.server.stop()

    async def served_serial(self) -> int:
        _reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port, ssl=self.tls.client
        )
        raw = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
        writer.close()
        return x509.load_der_x509_certificate(raw).serial_number


class TestTlsContexts:
    async def test_request_over_tls(self, tmp_path):
        async with TlsListener(tmp_path) as listener, ClientSession() as http:
            url = f"https://{listener.server.address}/health/live"
            async with http.get(url, ssl=listener.tls.client) as resp:
                assert await resp.json() == {"live": True}

    async def test_unknown_authority_is_refused(self, tmp_path):
        async with TlsListener(tmp_path) as listener:
            with pytest.raises(ssl.SSLCertVerificationError):
                await asyncio.open_connection(
                    "127.0.0.1", listener.server.port, ssl=ssl.create_default_context()
                )

    async def test_renewed_certificate_without_restart(self, tmp_path):
        async with TlsListener(tmp_path) as listener:
            first = await listener.served_serial()
            _cert, _key, renewed = listener.authority.issue()
            assert listener.tls.reload() is True
            assert listener.tls.reload() is False
            assert (first, await listener.served_serial()) == (listener.serial, renewed)

    async def test_partly_renewed_files_are_not_loaded(self, tmp_path):
        async with TlsListener(tmp_path) as listener:
            old_key = open(listener.cfg.private_key).read()
            _cert, key, renewed = listener.authority.issue()
            new_key = key.read_text()
            key.write_text(old_key)
            assert listener.tls.reload() is False
            assert await listener.served_serial() == listener.serial
            key.write_text(new_key)
            assert listener.tls.reload() is True
            assert await listener.served_serial() == renewed

    def test_disabled(self):
        tls = TlsContexts.from_config(TlsSettings(), SystemClock())
        assert (tls.server, tls.client, tls.reload()) == (None, None, False)

    def test_missing_files_are_a_settings_error(self):
        cfg = TlsSettings(True, "none.pem", "none.key", "")
        with pytest.raises(EbonydealError) as caught:
            TlsContexts.from_config(cfg, SystemClock())
        assert caught.value.kind is ErrorKind.BAD_SETTINGS
