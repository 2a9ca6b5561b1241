"""A clock that tests advance."""

import asyncio


class ManualClock:
    """Clock whose sleeping tasks wake when `advance` passes their wake-up time."""

    def __init__(self, start: float = 1_000_000.0) -> None:
        self._now = start
        self._sleepers: list[tuple[float, asyncio.Future]] = []

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    async def sleep(self, seconds: float) -> None:
        fut = asyncio.get_running_loop().create_future()
        self._sleepers.append((self._now + max(0.0, seconds), fut))
        await fut

    async def advance(self, seconds: float) -> None:
        """Advance time; wake sleeping tasks in order and let each run."""
        end = self._now + seconds
        while True:
            await settle()
            due = [item for item in self._sleepers if item[0] <= end]
            if not due:
                break
            first = min(due, key=lambda item: item[0])
            self._sleepers.remove(first)
            self._now = max(self._now, first[0])
            if not first[1].done():
                first[1].set_result(None)
        self._now = end
        await settle()


async def settle(rounds: int = 20) -> None:
    """Run all tasks that are ready."""
    for _ in range(rounds):
        await asyncio.sleep(0)
