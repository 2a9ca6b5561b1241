"""Calls to model engines beside the requests themselves."""

from ebonydeal._internal.errors import EbonydealError, ErrorKind
from ebonydeal._internal.models.forwarding import MoveAnswer
from ebonydeal._internal.platform.calls import JsonCalls


class PlatformEngines:
    """Orders to engines; owns one session.

    Parameters
    ----------
    timeout : float
        Longest wait for one call, seconds.
    """

    def __init__(self, timeout: float) -> None:
        self._calls = JsonCalls(timeout)

    async def move_run(self, source: str, request_id: str, target: str) -> MoveAnswer:
        """Stop a run at ``source`` and pass its memory to ``target`` (addresses).

        Raises ENDPOINT_FAILED where no answer came: it may be stopped or not.
        """
        reply = await self._calls.call(
            "POST",
            f"http://{source}/-/kv-move",
            ErrorKind.ENDPOINT_FAILED,
            message={"id": request_id, "to": target, "last": True},
        )
        if reply.status != 200:
            return MoveAnswer("", f"status {reply.status}")
        try:
            handle = str(reply.read()["handle"])
        except (ValueError, KeyError, TypeError) as exc:
            detail = f"the answer of {source} can't be read: {exc!r}"
            raise EbonydealError(ErrorKind.ENDPOINT_FAILED, detail) from exc
        return MoveAnswer(handle, "")

    async def close(self) -> None:
        """Close the session."""
        await self._calls.close()
