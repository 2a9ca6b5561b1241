"""By what a request is known again when it comes under another id."""

from hashlib import blake2b

# Collisions would let one request answer for what another did.
_DIGEST_BYTES = 16


class RequestDigest:
    """Digest of a request's account, host, method, path and body.

    The body is added while it is read: nothing is read twice, and what is kept of a
    request has the same length whatever its size. Two client accounts never
    share a digest, so that none can have another's requests refused.

    Parameters
    ----------
    account : str
        Name of the client account; empty where the route asks for none.
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
        """Add a slice of the body."""
        self._hash.update(data)

    def hexdigest(self) -> str:
        """Return the digest of what was added so far."""
        return self._hash.hexdigest()
