"""TLS settings of a program under test, and the certificates of its listeners."""

import asyncio
import ssl
from collections.abc import Callable
from pathlib import Path

from cryptography import x509

from ebonydeal._internal.settings.sections import TlsSettings
from tests.lib.certificates import CertificateAuthority


def tls_settings(folder: Path) -> tuple[TlsSettings, Callable[[], int]]:
    """Return settings, and a function that renews the files and returns the serial."""
    authority = CertificateAuthority(folder)
    cert, key, _serial = authority.issue()
    cfg = TlsSettings(True, str(cert), str(key), str(authority.file), 0.02)
    return cfg, lambda: authority.issue()[2]


async def fetch_serial(address: str, context: ssl.SSLContext | None) -> int:
    host, port = address.rsplit(":", 1)
    _reader, writer = await asyncio.open_connection(host, int(port), ssl=context)
    raw = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
    writer.close()
    return x509.load_der_x509_certificate(raw).serial_number


async def wait_until_renewed(
    address: str, context: ssl.SSLContext | None, serial: int
) -> None:
    async with asyncio.timeout(30):
        while await fetch_serial(address, context) != serial:
            await asyncio.sleep(0.02)
