"""Memory and descriptors that a process uses, as its machine counts them."""

import asyncio
import os
from pathlib import Path

MB = 1_000_000
_KB = 1024
_SAMPLE_INTERVAL_S = 0.05
_RECEIVE_QUEUE_FIELD = 4


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return _status_kb(pid, "VmRSS") * _KB


def peak_resident_bytes(pid: int) -> int:
    """Return the highest resident memory of a process so far."""
    return _status_kb(pid, "VmHWM") * _KB


def _status_kb(pid: int, field: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1])
    raise ValueError(f"no {field} in the status of process {pid}")


def descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def unread_bytes(port: int) -> int:
    """Return the bytes that have arrived at a port and weren't read yet."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) == port:
            queues = fields[_RECEIVE_QUEUE_FIELD]
            total += int(queues.rpartition(":")[2], 16)
    return total


class UsageWatch:
    """Watches a process that listens on a port; an async context manager.

    Attributes
    ----------
    most_bytes : int
        Largest memory: resident, and bytes that arrived and weren't read.
    most_descriptors : int
        Largest number of open descriptors.
    """

    def __init__(self, pid: int, port: int) -> None:
        self._pid = pid
        self._port = port
        self.most_bytes = 0
        self.most_descriptors = 0

    async def __aenter__(self) -> "UsageWatch":
        self._task = asyncio.create_task(self._watch())
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.sample()
        self.most_bytes = max(self.most_bytes, peak_resident_bytes(self._pid))

    async def _watch(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Measure once."""
        used = resident_bytes(self._pid) + unread_bytes(self._port)
        self.most_bytes = max(self.most_bytes, used)
        self.most_descriptors = max(self.most_descriptors, descriptors(self._pid))
