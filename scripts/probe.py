"""HTTP calls to processes, polling of their state, and free ports."""

import json
import socket
import time
import urllib.error
import urllib.request

__all__ = ['ReservedPorts', 'call', 'wait_for']

START_TIMEOUT_S = 20.0
POLL_S = 0.1


def call(
    address: str,
    method: str,
    target: str,
    value: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> tuple[int, dict]:
    """Return status and JSON body; status 0 without a valid response."""
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(
        f'http://{address}{target}',
        data=data,
        method=method,
        headers={'content-type': 'application/json', **(headers or {})},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read() or b'{}')
    except (OSError, ValueError):
        return 0, {}


def wait_for(check, timeout_s: float = START_TIMEOUT_S) -> None:
    """Poll until check() is true; raise TimeoutError."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if check():
            return
        time.sleep(POLL_S)
    raise TimeoutError('The condition was not met before the timeout.')


class ReservedPorts:
    """Reserve free ports until closed.

    Each port is bound without listening: a server that sets SO_REUSEADDR, as
    asyncio does, can listen on it, and no other socket gets it.
    """

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []

    def reserve(self, count: int) -> list[int]:
        """Reserve and return free ports of the loopback interface."""
        new_sockets = [socket.socket() for _ in range(count)]
        for bound_socket in new_sockets:
            bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound_socket.bind(('127.0.0.1', 0))
        self.sockets += new_sockets
        return [bound_socket.getsockname()[1] for bound_socket in new_sockets]

    def close(self) -> None:
        """Release all ports."""
        for bound_socket in self.sockets:
            bound_socket.close()
        self.sockets.clear()
