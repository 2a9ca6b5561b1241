"""Certificate authority for tests; signs certificates for 127.0.0.1."""

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

_START = datetime.datetime(2020, 1, 1)
_END = datetime.datetime(2100, 1, 1)


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


class CertificateAuthority:
    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._serial = 1
        own = self._builder("authority", self._key.public_key())
        basic = x509.BasicConstraints(ca=True, path_length=None)
        cert = own.add_extension(basic, critical=True).sign(self._key, hashes.SHA256())
        self.file = folder / "authority.pem"
        self.file.write_bytes(cert.public_bytes(serialization.Encoding.PEM))

    def _builder(self, name: str, key) -> x509.CertificateBuilder:
        self._serial += 1
        return (
            x509.CertificateBuilder()
            .subject_name(_name(name))
            .issuer_name(_name("authority"))
            .public_key(key)
            .serial_number(self._serial)
            .not_valid_before(_START)
            .not_valid_after(_END)
        )

    def issue(self) -> tuple[Path, Path, int]:
        """Write a certificate and its key; return their files and the serial."""
        key = ec.generate_private_key(ec.SECP256R1())
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        cert = (
            self._builder("node", key.public_key())
            .add_extension(x509.SubjectAlternativeName([address]), critical=False)
            .sign(self._key, hashes.SHA256())
        )
        cert_file, key_file = self._folder / "node.pem", self._folder / "node.key"
        cert_file.write_bytes(cert.public_bytes(serialization.Encoding.PEM))
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return cert_file, key_file, cert.serial_number
