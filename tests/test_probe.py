"""Test the helpers of tests that start processes."""

import socket

from scripts import probe


def test_reserved_port_serves_and_is_not_assigned_to_other_sockets():
    reserved_ports = probe.ReservedPorts()
    (port,) = reserved_ports.reserve(1)
    with socket.create_server(('127.0.0.1', port)) as server:
        with socket.create_connection(('127.0.0.1', port)):
            server.accept()[0].close()
    # The system assigns other ports to other sockets.
    other_sockets = [socket.socket() for _ in range(200)]
    for other_socket in other_sockets:
        other_socket.bind(('127.0.0.1', 0))
    assert port not in {
        other_socket.getsockname()[1] for other_socket in other_sockets
    }
    for other_socket in other_sockets:
        other_socket.close()
    reserved_ports.close()
    assert reserved_ports.sockets == []
