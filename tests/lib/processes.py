"""Runs the real programs as processes on loopback, for functional tests."""

import asyncio
import os
import signal
from pathlib import Path
from sysconfig import get_path
from typing import NamedTuple

from aiohttp import ClientError, ClientSession, ClientTimeout

_MAX_START_CHECKS = 300
_START_CHECK_INTERVAL_S = 0.1


class RunningProgram(NamedTuple):
    """A running program and the port it listens on."""

    name: str
    process: asyncio.subprocess.Process
    port: int
    log: Path

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    def pause(self) -> None:
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.process.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()

    async def terminate(self) -> int:
        if self.process.returncode is None:
            self.process.terminate()
        return await self.process.wait()


async def launch(
    name: str, program: str, args: list[str], port: int, folder: Path
) -> RunningProgram:
    """Start an installed console script; its output goes to a file."""
    log = folder / f"{name}.log"
    with log.open("wb") as out:
        process = await asyncio.create_subprocess_exec(
            str(Path(get_path("scripts")) / program),
            *args,
            stdout=out,
            stderr=out,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
    return RunningProgram(name, process, port, log)


async def wait_until_up(program: RunningProgram, path: str) -> None:
    """Wait until ``path`` responds with 200, or fail with the program's output."""
    async with ClientSession(timeout=ClientTimeout(total=2)) as session:
        for _ in range(_MAX_START_CHECKS):
            if program.process.returncode is not None:
                break
            try:
                async with session.get(program.url + path) as resp:
                    if resp.status == 200:
                        return
            except (ClientError, OSError, TimeoutError):
                pass
            await asyncio.sleep(_START_CHECK_INTERVAL_S)
    text = program.log.read_text(errors="replace")[-3000:]
    raise AssertionError(f"{program.name} did not start:\n{text}")
