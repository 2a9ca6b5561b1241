"""Reserved ports stay free for the process that they are meant for."""

import socket

from ebonydeal._internal.soak.ports import reserve_port


class TestReserve:
    def test_no_port_is_reserved_twice(self):
        ports = [reserve_port() for _ in range(200)]
        assert len(set(ports)) == 200

    def test_a_listener_can_bind_a_reserved_port(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", reserve_port()))
            sock.listen()

    def test_no_reserved_port_is_ephemeral(self):
        # A test once failed because an outgoing connection took its port.
        with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
            first = int(file.read().split()[0])
        assert all(reserve_port() < first for _ in range(50))
