import socket

import pytest

from ebonydeal._internal.utils.early_listen import find_listener, open_listeners


@pytest.fixture
def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def file_with(tmp_path, text):
    file = tmp_path / "relay.ini"
    file.write_text(text)
    return ["--settings", str(file)]


class TestOpenListeners:
    def test_a_client_connects_before_anything_accepts(self, tmp_path, free_port):
        args = file_with(tmp_path, f"[relay]\naddress = 127.0.0.1:{free_port}\n")
        opened = open_listeners(args, "relay", ("address", "ready_address"))
        client = socket.create_connection(("127.0.0.1", free_port), timeout=5)
        assert len(opened) == 1
        sock = find_listener(opened, f"127.0.0.1:{free_port}")
        assert sock is not None
        sock.accept()[0].close()
        client.close()
        sock.close()

    @pytest.mark.parametrize(
        "text",
        [
            "[relay]\naddress = 127.0.0.1:0\n",
            "[relay]\naddress = nowhere\n",
            "[relay]\naddress = 999.1.1.1:7000\n",
            "no section",
            "",
        ],
    )
    def test_what_is_wrong_is_left_to_the_program(self, tmp_path, text):
        assert open_listeners(file_with(tmp_path, text), "relay", ("address",)) == []

    @pytest.mark.parametrize(
        "args", [[], ["--help"], ["--settings"], ["--settings", "/no"]]
    )
    def test_nor_without_settings(self, args):
        assert open_listeners(args, "relay", ("address",)) == []


class TestFindListener:
    def test_another_address_has_none(self, tmp_path, free_port):
        args = file_with(tmp_path, f"[relay]\naddress = 127.0.0.1:{free_port}\n")
        opened = open_listeners(args, "relay", ("address",))
        assert find_listener(opened, "127.0.0.1:1") is None
        taken = find_listener(opened, f"127.0.0.1:{free_port}")
        assert taken is not None
        taken.close()
