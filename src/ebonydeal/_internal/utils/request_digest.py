"""Digest that identifies equal requests with different ids."""

from hashlib import blake2b

# A collision would hold one request responsible for crashes that another caused.
_DIGEST_BYTES = 16


class RequestDigest:
    """Digest of a request's account, host, method, path and body.

    The body is added while it is read, so nothing is read twice, and the digest has
    the same length for every size of body. Two client accounts never share a
    digest, so an account can't cause requests of another to be refused.

    Parameters
    ----------
    account : str
        Name of the client account; empty if the route requires none.
    host, method, path : str
        As the client sent them.
    """

    def __init__(self, account: str, host: str, method: str, path: str) -> None:
        self._hash = blake2b(digest_size=_DIGEST_BYTES)
        for text in (account, host, method, path):
            data = text.encode("utf-8", "surrogateescape")
            self._hash.update(len(data).to_bytes(4, "big"))
            self._hash.update(data)

    def update(self, data: bytes) -> None:
        """Add a part of the body."""
        self._hash.update(data)

    def hexdigest(self) -> str:
        """Return the digest of the data added so far, as hexadecimal text."""
        return self._hash.hexdigest()
