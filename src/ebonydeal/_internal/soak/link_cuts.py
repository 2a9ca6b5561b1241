"""Cuts between single relays and all endpoints.

Each relay connects from a loopback address of its own, so that the endpoints' proxies
know whose connection it is. New connections fail in the relay's process
(`relay_connections`), as they would on a broken network; open ones fail at the proxies.
"""

from collections.abc import Callable
from enum import StrEnum
from pathlib import Path

# Loopback addresses of the endpoints' proxies, and of the relays' outgoing connections.
ENDPOINT_HOST = "127.0.2.1"
_RELAY_NETWORK = "127.0.1"
SOURCE_VARIABLE = "EBONYDEAL_SOAK_SOURCE"
CUT_FILE_VARIABLE = "EBONYDEAL_SOAK_CUT_FILE"
# A file with the port of the proxy by which each relay is reached, by its own port.
PEER_PROXIES_VARIABLE = "EBONYDEAL_SOAK_PEER_PROXIES"


class CutMode(StrEnum):
    """What happens to new connections, and to open ones."""

    RESET = "new ones refused, open ones reset"
    SILENT = "new ones and open ones silent"
    NEW_REFUSED = "new ones refused, open ones work"
    NEW_SILENT = "new ones silent, open ones work"

    @property
    def refuses(self) -> bool:
        """Whether new connections are refused at once."""
        return self in (CutMode.RESET, CutMode.NEW_REFUSED)


def source_address(number: int) -> str:
    """Return the address from which a relay connects."""
    return f"{_RELAY_NETWORK}.{number + 1}"


class LinkCuts:
    """The cuts in force, by the relays' source addresses."""

    def __init__(self) -> None:
        self._modes: dict[str, CutMode] = {}
        # Called with the source address and its mode, None at the end of the cut.
        self.on_change: set[Callable[[str, CutMode | None], None]] = set()

    def mode(self, source: str) -> CutMode | None:
        """Return the cut of a relay's links, None if they work."""
        return self._modes.get(source)

    def begin(self, source: str, cut_file: Path, mode: CutMode) -> None:
        """Cut a relay from all endpoints."""
        cut_file.write_text(mode.value, encoding="utf-8")
        self._modes[source] = mode
        self._notify(source, mode)

    def end(self, source: str, cut_file: Path) -> None:
        """Restore a relay's links."""
        cut_file.unlink(missing_ok=True)
        self._modes.pop(source, None)
        self._notify(source, None)

    def _notify(self, source: str, mode: CutMode | None) -> None:
        for callback in list(self.on_change):
            callback(source, mode)
