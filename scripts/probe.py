"""Call processes over HTTP and wait for what they reach."""

import json
import socket
import time
import urllib.error
import urllib.request

__all__ = ['call', 'take_ports', 'wait_for']

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


def take_ports(count: int) -> list[int]:
    """Return ports that the system has free."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(('127.0.0.1', 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports
