"""Send what hostile clients send, while others are served."""

import asyncio
from collections import abc
import contextlib
import random

__all__ = ['run_crowd']

CONNECTIONS = 6
PAUSE_S = 0.3
# The instances are slow or paused at times.
STEP_TIMEOUT_S = 1.0
BODY_BYTES = 200_000


def _make_requests(host: str) -> tuple[bytes, ...]:
    start = f'POST /scores/1 HTTP/1.1\r\nHost: {host}\r\n'.encode()
    chunked = start + b'Transfer-Encoding: chunked\r\n\r\n'
    return (
        start
        + b'Content-Length: %d\r\n\r\n' % BODY_BYTES
        + b'x' * (BODY_BYTES - 1),
        f'GET /nowhere HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode() * 100,
        chunked + b'10000\r\n' + b'x' * 65_536,
        chunked + (b'10\r\n' + b'x' * 16 + b'\r\n') * 2000,
        start + b'x: ' + b'y' * 1000,
        b'',
    )


async def run_crowd(
    addresses: abc.Sequence[str],
    host: str,
    rng: random.Random,
    seconds: float,
) -> int:
    """Open connections to random addresses for a time; return their number.

    The last ones stay open while others open: they send, and never read.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    requests = _make_requests(host)
    open_writers: list[asyncio.StreamWriter] = []
    opened = 0
    try:
        while loop.time() < end:
            address = rng.choice(addresses)
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(STEP_TIMEOUT_S):
                    open_writers.append(
                        await _send(address, rng.choice(requests))
                    )
                    opened += 1
            for writer in open_writers[:-CONNECTIONS]:
                writer.transport.abort()
            del open_writers[:-CONNECTIONS]
            await asyncio.sleep(PAUSE_S)
    finally:
        for writer in open_writers:
            writer.transport.abort()
    return opened


async def _send(address: str, data: bytes) -> asyncio.StreamWriter:
    host, _, port = address.rpartition(':')
    _, writer = await asyncio.open_connection(host, int(port))
    # What the instance does not read waits here.
    writer.write(data)
    return writer
