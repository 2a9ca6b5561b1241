"""A reload of the settings while a program runs."""

import asyncio
import time

from ebonydeal._internal.utils.run import Reloader
from tests.lib.relay_fakes import until

READING_S = 0.3


class Program:
    """A program that records the settings that it got."""

    label = "program"

    def __init__(self):
        self.applied = []

    def reload(self, settings):
        self.applied.append(settings)


class TestReloader:
    async def test_requests_are_served_while_settings_are_read(self):
        program = Program()

        def read_slowly():
            time.sleep(READING_S)
            return {"version": 1}

        Reloader(program, read_slowly).request()
        turns = 0
        while not program.applied:
            await asyncio.sleep(0.01)
            turns += 1
        assert turns > 3

    async def test_a_signal_while_settings_are_read_reads_them_again(self):
        program, versions = Program(), iter(range(9))

        def read():
            time.sleep(0.05)
            return next(versions)

        reloader = Reloader(program, read)
        reloader.request()
        await asyncio.sleep(0.01)
        reloader.request()
        reloader.request()
        await until(lambda: program.applied == [0, 1])

    async def test_a_reader_that_fails_keeps_the_last_settings(self):
        program, files = Program(), [OSError("disk"), None, {"version": 2}]

        def read():
            found = files.pop(0)
            if isinstance(found, OSError):
                raise found
            return found

        reloader = Reloader(program, read)
        for left in (2, 1, 0):
            reloader.request()
            await until(lambda left=left: len(files) == left)
            await until(lambda: reloader._task.done())
        assert program.applied == [{"version": 2}]
