"""Export and import of KV caches at a simulated engine."""

from typing import Any, NamedTuple

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.outside.http import ENDPOINT, HttpClient, read_object
from ebonydeal._internal.standin.attempts import Attempt

_TIMEOUT_S = 30.0


class KvCopy(NamedTuple):
    """A copy of an attempt's KV cache."""

    handle: str
    digest: str
    tokens: int


class KvStore:
    """Exported and imported copies of one engine; owns the client that fetches them."""

    def __init__(self, endpoint_id: str) -> None:
        self._endpoint_id = endpoint_id
        self._exported: dict[str, KvCopy] = {}
        self._imported: dict[str, KvCopy] = {}
        self._client = HttpClient(_TIMEOUT_S)

    def export(self, attempt: Attempt) -> KvCopy:
        """Create a copy that other engines can fetch."""
        handle = f"kv-{self._endpoint_id}-{len(self._exported) + 1}"
        copy = KvCopy(handle, attempt.digest, attempt.size())
        self._exported[handle] = copy
        return copy

    def exported_message(self, handle: str) -> dict[str, Any]:
        """Return the JSON object of an exported copy; raises NOT_FOUND."""
        if handle not in self._exported:
            raise EbonydealError(ErrorKind.NOT_FOUND, "no such handle")
        return self._exported[handle]._asdict()

    async def import_copy(self, handle: str, source: str) -> KvCopy:
        """Fetch and store a copy from the engine at ``source``."""
        url = f"http://{source}/kv/{handle}"
        reply = await self._client.fetch("GET", url, ENDPOINT)
        if reply.status != 200:
            raise EbonydealError(ErrorKind.NOT_FOUND, f"{source} has no such handle")
        copy = KvCopy(**read_object(reply, url, ENDPOINT))
        self._imported[handle] = copy
        return copy

    def imported_tokens(self, attempt: Attempt) -> int:
        """Return how many tokens of ``attempt`` an imported copy covers."""
        copy = self._imported.get(attempt.kv_handle)
        if copy is None or copy.digest != attempt.digest:
            return 0
        return min(copy.tokens, attempt.size())

    async def close(self) -> None:
        """Close the HTTP client."""
        await self._client.close()
