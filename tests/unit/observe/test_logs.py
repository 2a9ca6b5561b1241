import json
import os

import pytest
import structlog

from ebonydeal._internal.observe.logs import LogRateLimiter, NonBlockingWriter


class TestLogRateLimiter:
    def test_repeated_message_is_limited_and_drops_are_counted(self):
        now = [0.0]
        limit = LogRateLimiter(lambda: now[0])
        passed = 0
        for _ in range(1000):
            try:
                limit(None, "info", {"event": "a"})
                passed += 1
            except structlog.DropEvent:
                pass
        assert passed == 200
        now[0] = 1.0
        assert limit(None, "info", {"event": "a"})["left_out"] == 800
        assert "left_out" not in limit(None, "info", {"event": "a"})

    def test_limit_of_one_message_does_not_affect_another(self):
        limit = LogRateLimiter(lambda: 0.0)
        with pytest.raises(structlog.DropEvent):
            for _ in range(201):
                limit(None, "info", {"event": "a"})
        assert limit(None, "info", {"event": "b"}) == {"event": "b"}


class TestNonBlockingWriter:
    def test_full_pipe_loses_whole_lines_and_never_blocks(self):
        read_end, write_end = os.pipe()
        with os.fdopen(write_end, "w") as file:
            writer = NonBlockingWriter(file)
            for n in range(20_000):
                writer.write(json.dumps({"n": n}) + "\n")
            assert writer.lost_lines > 0
            os.set_blocking(read_end, False)
            received = b""
            try:
                while data := os.read(read_end, 65536):
                    received += data
            except BlockingIOError:
                pass
            writer.write(json.dumps({"n": "end"}) + "\n")
            received += os.read(read_end, 65536)
        os.close(read_end)
        numbers = [json.loads(line)["n"] for line in received.splitlines()]
        assert numbers[-1] == "end"
        assert numbers[:-1] == list(range(len(numbers) - 1))

    def test_closed_reader_is_not_an_error(self):
        read_end, write_end = os.pipe()
        os.close(read_end)
        with os.fdopen(write_end, "w") as file:
            NonBlockingWriter(file).write("x\n")
