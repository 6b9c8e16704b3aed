"""Detect idle connections that died without a reset."""

import socket

__all__ = ['set_keepalive']

IDLE_S = 1
INTERVAL_S = 1
# A single lost packet must not end a sound connection.
MAX_UNANSWERED = 2


def set_keepalive(connection: socket.socket) -> None:
    """Let the kernel close a connection that stays silent when probed.

    Probes are sent only while no data is in flight, and answered by the other
    kernel, so that a slow process is not taken for a dead connection.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, IDLE_S),
        (socket.TCP_KEEPINTVL, INTERVAL_S),
        (socket.TCP_KEEPCNT, MAX_UNANSWERED),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
