"""Reserved ports are nobody else's until they are used."""

import socket

from ebonydeal._internal.soak.ports import reserve_port


class TestReserve:
    def test_no_port_is_given_twice(self):
        ports = [reserve_port() for _ in range(200)]
        assert len(set(ports)) == 200

    def test_a_listener_can_take_it(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", reserve_port()))
            sock.listen()

    def test_none_is_given_to_outgoing_connections(self):
        # The test that failed once lost its port to one of these.
        with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
            first = int(file.read().split()[0])
        assert all(reserve_port() < first for _ in range(50))
