"""Calls to model engines other than forwarded requests."""

from http import HTTPStatus

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import MigrationReply
from ebonydeal._internal.platform.calls import JsonCalls

_MS = 1000.0
# The run doesn't exist, or is being migrated by another call. Any other refusal may
# come after the run was stopped.
_NOT_STOPPED = (HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT)


class PlatformEngines:
    """Sends orders to engines; owns one session.

    Parameters
    ----------
    timeout : float
        Timeout of one call, seconds.
    """

    def __init__(self, timeout: float) -> None:
        # Replies have no id, and an endpoint may send one twice.
        self._calls = JsonCalls(timeout, reuses_connections=False)

    async def migrate_run(
        self, source: str, request_id: str, target: str
    ) -> MigrationReply:
        """Stop a run at ``source`` and transfer its KV cache to ``target`` (addresses).

        Raises ENDPOINT_FAILED if no reply came: the run may be stopped or not.
        """
        reply = await self._calls.call(
            "POST",
            f"http://{source}/-/kv-move",
            ErrorKind.ENDPOINT_FAILED,
            message={"id": request_id, "to": target, "last": True},
        )
        if reply.status != HTTPStatus.OK:
            left_running = reply.status in _NOT_STOPPED
            return MigrationReply("", f"status {reply.status}", left_running)
        try:
            handle = str(reply.parse()["handle"])
        except (ValueError, KeyError, TypeError) as exc:
            detail = f"the reply of {source} can't be parsed: {exc!r}"
            raise EbonydealError(ErrorKind.ENDPOINT_FAILED, detail) from exc
        return MigrationReply(handle, "")

    async def leaves_in(self, address: str) -> float | None:
        """Return the seconds until an endpoint leaves; None if it doesn't report them.

        Raises ENDPOINT_FAILED without a valid reply.
        """
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

    async def close(self) -> None:
        """Close the session."""
        await self._calls.close()
