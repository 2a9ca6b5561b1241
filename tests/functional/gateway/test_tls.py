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


class Node:
    """A listener with TLS, and the files behind it."""

    def __init__(self, folder) -> None:
        self.authority = CertificateAuthority(folder)
        cert, key, self.serial = self.authority.issue()
        self.cert = cert
        self.cfg = TlsSettings(True, str(cert), str(key), str(self.authority.file))
        self.tls = TlsContexts.from_config(self.cfg, SystemClock())
        app: web.Application = new_app(Metrics())
        self.server = HttpServer(app, "127.0.0.1", 0, ssl_context=self.tls.server)

    async def __aenter__(self) -> "Node":
        await self.server.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.server.stop()

    async def seen_serial(self) -> int:
        _reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port, ssl=self.tls.client
        )
        raw = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
        writer.close()
        return x509.load_der_x509_certificate(raw).serial_number


class TestTlsContexts:
    async def test_call(self, tmp_path):
        async with Node(tmp_path) as node, ClientSession() as http:
            url = f"https://{node.server.address}/health/live"
            async with http.get(url, ssl=node.tls.client) as resp:
                assert await resp.json() == {"live": True}

    async def test_unknown_authority_is_refused(self, tmp_path):
        async with Node(tmp_path) as node:
            with pytest.raises(ssl.SSLCertVerificationError):
                await asyncio.open_connection(
                    "127.0.0.1", node.server.port, ssl=ssl.create_default_context()
                )

    async def test_renewed_certificate_without_restart(self, tmp_path):
        async with Node(tmp_path) as node:
            first = await node.seen_serial()
            _cert, _key, renewed = node.authority.issue()
            assert node.tls.reload() is True
            assert node.tls.reload() is False
            assert (first, await node.seen_serial()) == (node.serial, renewed)

    async def test_half_renewed_files_leave_the_old_ones_in_use(self, tmp_path):
        async with Node(tmp_path) as node:
            old_key = open(node.cfg.private_key).read()
            _cert, key, renewed = node.authority.issue()
            new_key = key.read_text()
            key.write_text(old_key)
            assert node.tls.reload() is False
            assert await node.seen_serial() == node.serial
            key.write_text(new_key)
            assert node.tls.reload() is True
            assert await node.seen_serial() == renewed

    def test_disabled(self):
        tls = TlsContexts.from_config(TlsSettings(), SystemClock())
        assert (tls.server, tls.client, tls.reload()) == (None, None, False)

    def test_missing_files(self):
        cfg = TlsSettings(True, "none.pem", "none.key", "")
        with pytest.raises(EbonydealError) as caught:
            TlsContexts.from_config(cfg, SystemClock())
        assert caught.value.kind is ErrorKind.BAD_SETTINGS
