"""The program as a process: signals, and settings that change or are wrong."""

import asyncio
import os
import signal
import socket
import sys

import pytest

from ebonydeal._internal.commands.settings import reread_settings
from tests.lib.relay_fakes import running, settings, until

FILE = """
[node]
id = n1
[platform]
tables_url = http://127.0.0.1:9
cloud_url = http://127.0.0.1:9
[logs]
format = json
[relay]
address = 127.0.0.1:0
ready_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
settle_s = 0
"""


def accepts(port):
    """Return whether a connection to a port is accepted."""
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) == 0


async def launch(file):
    """Start the program."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ebonydeal._internal.cli.relay",
        "--settings",
        str(file),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )


async def start_program(file):
    """Start the program; return it once it has started."""
    proc = await launch(file)
    await wait_for_line(proc, b"Started.")
    return proc


async def wait_for_line(proc, text):
    """Read lines until one contains ``text``."""
    while line := await asyncio.wait_for(proc.stdout.readline(), 20):
        if text in line:
            return line
    raise AssertionError(f"the program ended without logging {text!r}")


class TestSignals:
    async def test_a_hang_up_signal_rereads_settings_without_a_stop(self, tmp_path):
        file = tmp_path / "relay.ini"
        file.write_text(FILE)
        proc = await start_program(file)
        try:
            proc.send_signal(signal.SIGHUP)
            await wait_for_line(proc, b"Settings read again.")
            file.write_text(FILE + "[relai]\n")
            proc.send_signal(signal.SIGHUP)
            assert b"relai" in await wait_for_line(proc, b"Settings are wrong.")
            await wait_for_line(proc, b"the last good ones stay")
            proc.send_signal(signal.SIGTERM)
            await wait_for_line(proc, b"Drained.")
            assert await asyncio.wait_for(proc.wait(), 10) == 0
        finally:
            if proc.returncode is None:
                proc.kill()


class TestSignalWhileLoading:
    async def test_is_applied_once_the_program_has_started(self, tmp_path):
        """Connections in the socket's queue would be lost with the process."""
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        file = tmp_path / "relay.ini"
        any_port = "\naddress = 127.0.0.1:0"
        file.write_text(FILE.replace(any_port, f"\naddress = 127.0.0.1:{port}"))
        proc = await launch(file)
        try:
            # The socket is open before the program has loaded.
            await until(lambda: accepts(port))
            proc.send_signal(signal.SIGHUP)
            await wait_for_line(proc, b"Started.")
            await wait_for_line(proc, b"Settings read again.")
            proc.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(proc.wait(), 10) == 0
        finally:
            if proc.returncode is None:
                proc.kill()


class TestReload:
    def test_a_missing_file_is_rejected(self, tmp_path):
        assert reread_settings(tmp_path / "none.ini") is None

    async def test_other_settings_change_and_addresses_stay(self):
        async with running() as (program, _store):
            changed = settings(grace_s=3.0, address="127.0.0.1:1")
            changed["peers"] = changed["peers"]._replace(seeds="10.0.0.1:1, 10.0.0.2:1")
            before = program._cfg.address
            program.reload(changed)
            assert program._cfg.grace_s == 3.0
            assert program._cfg.address == before
            assert "10.0.0.2:1" in program._exchange.relays


@pytest.mark.parametrize("text", ["[relay]\naddress\n", "[relay]\ngrace_s = soon\n"])
def test_wrong_settings_are_rejected(tmp_path, text):
    file = tmp_path / "relay.ini"
    file.write_text(text)
    assert reread_settings(file) is None


class TestEarlySockets:
    async def test_a_client_that_connects_during_the_start_is_answered(self, tmp_path):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        file = tmp_path / "relay.ini"
        file.write_text(
            FILE.replace("address = 127.0.0.1:0", f"address = 127.0.0.1:{port}", 1)
        )
        starting = asyncio.ensure_future(start_program(file))
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                break
            except ConnectionRefusedError:
                await asyncio.sleep(0.005)
        connected_before_start = not starting.done()
        writer.write(b"GET /x/ HTTP/1.1\r\nHost: h\r\nEbonydeal-Request-Id: r1\r\n\r\n")
        head = await asyncio.wait_for(reader.readline(), 20)
        writer.close()
        proc = await starting
        proc.terminate()
        await proc.wait()
        # It has no configuration yet, so it answers 503.
        assert (connected_before_start, head.split()[1]) == (True, b"503")
