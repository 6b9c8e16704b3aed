"""Test the helpers of process tests."""

import socket

from scripts import probe


def test_server_listens_on_a_held_port_that_nobody_else_is_given():
    reserved_ports = probe.ReservedPorts()
    (port,) = reserved_ports.reserve(1)
    with socket.create_server(('127.0.0.1', port)) as server:
        with socket.create_connection(('127.0.0.1', port)):
            server.accept()[0].close()
    # Other servers and callers get other ports.
    others = [socket.socket() for _ in range(200)]
    for one in others:
        one.bind(('127.0.0.1', 0))
    assert port not in {one.getsockname()[1] for one in others}
    for one in others:
        one.close()
    reserved_ports.close()
    assert reserved_ports.sockets == []
