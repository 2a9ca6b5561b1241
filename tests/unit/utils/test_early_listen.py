import socket

import pytest

from ebonydeal._internal.utils.early_listen import find_listener, open_listeners


@pytest.fixture
def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def settings_args(tmp_path, text):
    file = tmp_path / "relay.ini"
    file.write_text(text)
    return ["--settings", str(file)]


class TestOpenListeners:
    def test_client_can_connect_before_the_program_accepts(self, tmp_path, free_port):
        args = settings_args(tmp_path, f"[relay]\naddress = 127.0.0.1:{free_port}\n")
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
    def test_invalid_settings_open_nothing_and_raise_nothing(self, tmp_path, text):
        assert (
            open_listeners(settings_args(tmp_path, text), "relay", ("address",)) == []
        )

    @pytest.mark.parametrize(
        "args", [[], ["--help"], ["--settings"], ["--settings", "/no"]]
    )
    def test_arguments_without_a_settings_file_open_nothing(self, args):
        assert open_listeners(args, "relay", ("address",)) == []


class TestFindListener:
    def test_unknown_address_finds_none_and_keeps_the_socket(self, tmp_path, free_port):
        args = settings_args(tmp_path, f"[relay]\naddress = 127.0.0.1:{free_port}\n")
        opened = open_listeners(args, "relay", ("address",))
        assert find_listener(opened, "127.0.0.1:1") is None
        found = find_listener(opened, f"127.0.0.1:{free_port}")
        assert found is not None
        found.close()
