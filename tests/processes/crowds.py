"""Many connections of clients that keep to no rule but HTTP's limits."""

from collections import abc
import contextlib
import socket
import time

__all__ = ['Crowd']

CONNECT_TIMEOUT_S = 0.5
SEND_S = 12.0
# Without progress on any connection for this long, nothing more is sent.
STALL_S = 2.0
PAUSE_S = 0.005


class Crowd:
    """Open connections that send and never read."""

    def __init__(self, address: str, count: int):
        host, _, port = address.rpartition(':')
        self.sockets: list[socket.socket] = []
        for _ in range(count):
            client = socket.socket()
            # Small buffers of the system, so that the instance's count.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.settimeout(CONNECT_TIMEOUT_S)
            try:
                client.connect((host, int(port)))
            except OSError:
                client.close()
                continue
            client.setblocking(False)
            self.sockets.append(client)

    def send(
        self,
        make_start: abc.Callable[[int], bytes],
        rest: bytes,
        piece_bytes: int,
    ) -> None:
        """Offer a start and the rest on each connection, in turn by piece."""
        pending = [
            (client, memoryview(make_start(number)), memoryview(rest))
            for number, client in enumerate(self.sockets)
        ]
        started = moved = time.monotonic()
        while pending:
            now = time.monotonic()
            if now - started > SEND_S or now - moved > STALL_S:
                return
            remaining = []
            for client, *parts in pending:
                try:
                    sent, parts = _send_piece(client, parts, piece_bytes)
                except BlockingIOError:
                    sent = 0
                except OSError:
                    # The instance closed it.
                    continue
                if sent:
                    moved = now
                if any(parts):
                    remaining.append((client, *parts))
            pending = remaining
            if moved != now:
                time.sleep(PAUSE_S)

    def close(self) -> None:
        """Close all connections."""
        for client in self.sockets:
            with contextlib.suppress(OSError):
                client.close()


def _send_piece(
    client: socket.socket, parts: list[memoryview], piece_bytes: int
) -> tuple[int, list[memoryview]]:
    start, rest = parts
    part = start or rest[:piece_bytes]
    sent = client.send(part)
    if start:
        return sent, [start[sent:], rest]
    return sent, [start, rest[sent:]]
