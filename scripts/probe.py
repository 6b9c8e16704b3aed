"""Call processes over HTTP and wait for what they reach."""

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
    """Return status and JSON body; status 0 when there was no answer."""
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(
        f'http://{address}{target}',
        data=data,
        method=method,
        headers={'content-type': 'application/json', **(headers or {})},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as reply:
            return reply.status, json.loads(reply.read())
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read() or b'{}')
    except (OSError, ValueError):
        return 0, {}


def wait_for(check, timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait until a check holds; raise TimeoutError."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if check():
            return
        time.sleep(POLL_S)
    raise TimeoutError('The state was not reached in time.')


class ReservedPorts:
    """Keep free ports from other processes until closed.

    A held port is bound and not listening: a server that sets SO_REUSEADDR, as
    asyncio does, may listen there, and the system gives it to no one else.
    """

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []

    def reserve(self, count: int) -> list[int]:
        """Return more ports that the system has free."""
        taken = [socket.socket() for _ in range(count)]
        for one in taken:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            one.bind(('127.0.0.1', 0))
        self.sockets += taken
        return [one.getsockname()[1] for one in taken]

    def close(self) -> None:
        """Give all ports back."""
        for one in self.sockets:
            one.close()
        self.sockets.clear()
