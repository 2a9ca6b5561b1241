import json
import os

import pytest
import structlog

from ebonydeal._internal.observe.logs import LogRateLimiter, NonBlockingWriter


class TestLogRateLimiter:
    def test_a_flood_of_one_sentence_is_cut_and_counted(self):
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

    def test_other_sentences_still_pass(self):
        limit = LogRateLimiter(lambda: 0.0)
        with pytest.raises(structlog.DropEvent):
            for _ in range(201):
                limit(None, "info", {"event": "a"})
        assert limit(None, "info", {"event": "b"}) == {"event": "b"}


class TestNonBlockingWriter:
    def test_a_pipe_that_nobody_reads_loses_whole_lines_and_never_blocks(self):
        read_end, write_end = os.pipe()
        with os.fdopen(write_end, "w") as file:
            writer = NonBlockingWriter(file)
            for n in range(20_000):
                writer.write(json.dumps({"n": n}) + "\n")
            assert writer.lost > 0
            os.set_blocking(read_end, False)
            got = b""
            try:
                while data := os.read(read_end, 65536):
                    got += data
            except BlockingIOError:
                pass
            writer.write(json.dumps({"n": "end"}) + "\n")
            got += os.read(read_end, 65536)
        os.close(read_end)
        numbers = [json.loads(line)["n"] for line in got.splitlines()]
        assert numbers[-1] == "end"
        assert numbers[:-1] == list(range(len(numbers) - 1))

    def test_a_reader_that_is_gone_is_no_error(self):
        read_end, write_end = os.pipe()
        os.close(read_end)
        with os.fdopen(write_end, "w") as file:
            NonBlockingWriter(file).write("x\n")
