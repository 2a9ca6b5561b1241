"""Calls to model engines other than forwarded requests."""

from http import HTTPStatus
from urllib.parse import quote

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import MigrationOrder, MigrationReply
from ebonydeal._internal.platform.calls import JsonCalls, Reply
from ebonydeal._internal.platform.headers import ENDPOINT_ID, EXPECT_ENDPOINT

_MS = 1000.0
# The run doesn't exist, or is being migrated by another call. Any other refusal may
# come after the run was stopped.
_NOT_STOPPED = (HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT)


class PlatformEngines:
    """Sends orders to engines, as `Engines` describes them; owns one session.

    Parameters
    ----------
    timeout : float
        Timeout of one call, seconds.
    """

    def __init__(self, timeout: float) -> None:
        # Replies have no id, and an endpoint may send one twice.
        self._calls = JsonCalls(timeout, reuses_connections=False)

    async def copy_run(
        self, source: str, request_id: str, target: str
    ) -> MigrationReply:
        """Copy a run's KV cache; the run goes on."""
        return await self._move(source, MigrationOrder(request_id, target, False))

    async def migrate_run(
        self, source: str, request_id: str, target: str, timeout: float
    ) -> MigrationReply:
        """Stop a run and transfer its KV cache; the reply comes after the transfer."""
        order = MigrationOrder(request_id, target, stops=True)
        return await self._move(source, order, timeout)

    async def free_copy(self, source: str, handle: str) -> None:
        """Free a copied KV cache, and its room at the target."""
        url = f"http://{source}/-/kv-handle/{quote(handle, safe='')}"
        await self._calls.call("DELETE", url, ErrorKind.ENDPOINT_FAILED)

    async def _move(
        self, source: str, order: MigrationOrder, timeout: float | None = None
    ) -> MigrationReply:
        reply = await self._calls.call(
            "POST",
            f"http://{source}/-/kv-move",
            ErrorKind.ENDPOINT_FAILED,
            timeout=timeout,
            message={"id": order.request_id, "to": order.target, "last": order.stops},
        )
        if reply.status != HTTPStatus.OK:
            left_running = not order.stops or reply.status in _NOT_STOPPED
            handle = "" if left_running else _kept_handle(reply)
            return MigrationReply(handle, f"status {reply.status}", left_running)
        try:
            return MigrationReply(str(reply.parse()["handle"]), "", not order.stops)
        except (ValueError, KeyError, TypeError) as exc:
            detail = f"the reply of {source} can't be parsed: {exc!r}"
            raise EbonydealError(ErrorKind.ENDPOINT_FAILED, detail) from exc

    async def leaves_in(self, address: str) -> float | None:
        """Return the seconds until an endpoint leaves, None if it reports none."""
        url = f"http://{address}/-/report"
        reply = await self._calls.call("GET", url, ErrorKind.ENDPOINT_FAILED)
        try:
            leaves_ms = reply.parse()["leaves_ms"] if reply.status == 200 else None
            return None if leaves_ms is None else max(0.0, float(leaves_ms) / _MS)
        except KeyError:
            return None
        except (ValueError, TypeError) as exc:
            detail = f"the report of {address} can't be parsed: {exc!r}"
            raise EbonydealError(ErrorKind.ENDPOINT_FAILED, detail) from exc

    async def is_endpoint(
        self, address: str, health_path: str, endpoint_id: str, timeout_s: float
    ) -> bool | None:
        """Return whether the process at an address has an id; None if it isn't told."""
        url, kind = f"http://{address}{health_path}", ErrorKind.ENDPOINT_FAILED
        # Another process rejects this id even if all its slots are taken.
        headers = {EXPECT_ENDPOINT: endpoint_id}
        try:
            reply = await self._calls.call(
                "GET", url, kind, timeout=timeout_s, headers=headers
            )
        except (EbonydealError, ValueError):
            return None
        if reply.status == HTTPStatus.MISDIRECTED_REQUEST:
            return False
        named = reply.headers.get(ENDPOINT_ID)
        return None if named is None else named == endpoint_id

    async def close(self) -> None:
        """Close the session."""
        await self._calls.close()


def _kept_handle(reply: Reply) -> str:
    """Return the handle of a stopped run's KV cache that its source keeps, or ""."""
    try:
        handle = reply.parse()["handle"]
    except (ValueError, KeyError, TypeError):
        return ""
    return handle if isinstance(handle, str) else ""
