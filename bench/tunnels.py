"""Measure what a call over a peer's tunnel costs beside a direct one."""

import asyncio
import time

from bench import slope
from pomelopass.edges import httpclient
from pomelopass import message
from pomelopass.paths import book as books
from pomelopass.paths import tunnelclient
from pomelopass.paths import tunnelserver
from pomelopass.registry import endpoint as endpoints
from pomelopass.table import relayserver

__all__ = ['measure_tunnels']

CALLS = 1000
# The handlers of closed connections end within this time.
SETTLE_S = 0.2
BODY = b'x' * 800
REPLY = b'HTTP/1.1 200 OK\r\ncontent-length: 800\r\n\r\n' + BODY
ENDPOINT_ID = 'e0'


def measure_tunnels() -> list[slope.Point]:
    """Return the processor time of calls over both paths.

    Client, peer and endpoint share one process, so that the difference of the
    two paths is the work of both instances.
    """
    return asyncio.run(_measure())


async def _measure() -> list[slope.Point]:
    endpoint, endpoint_address = await _listen(_answer)
    target = endpoints.Endpoint(
        *(ENDPOINT_ID, 'desk', endpoint_address, 'north', 8, False, {}, 1)
    )
    peer, peer_address = await _listen(_make_peer(target).serve)
    direct = httpclient.HttpClient()
    tunnelled = httpclient.HttpClient(
        tunnelclient.open_tunnel, tunnelclient.TUNNEL_TIMEOUT_MS
    )
    tunnel_address = f'{peer_address}/{ENDPOINT_ID}'
    points = []
    for fresh in (False, True):
        connection = 'a new connection' if fresh else 'an open connection'
        for path, client, address in (
            ('own link', direct, endpoint_address),
            ('tunnel', tunnelled, tunnel_address),
        ):
            name = f'processor time of a call, {path}, {connection}'
            us = await _time_calls(client, address, fresh)
            points.append(slope.Point(name, CALLS, us, 'us'))
    for client in (direct, tunnelled):
        await client.close()
    for listener in (endpoint, peer):
        listener.close()
    await asyncio.sleep(SETTLE_S)
    return points


def _make_peer(target: endpoints.Endpoint) -> relayserver.RelayServer:
    tunnels = tunnelserver.TunnelServer(
        lambda endpoint_id: target,
        lambda: False,
        books.PathBook(lambda: 1, lambda event: None),
        lambda endpoint_id: None,
        lambda endpoint_id, started_at_ms: None,
    )
    return relayserver.RelayServer(None, tunnels.make_handlers())


async def _listen(serve) -> tuple[asyncio.Server, str]:
    listener = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    return listener, f'127.0.0.1:{port}'


async def _answer(reader, writer) -> None:
    try:
        while True:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(REPLY)
    except asyncio.IncompleteReadError:
        writer.close()


async def _time_calls(
    client: httpclient.HttpClient, address: str, fresh: bool
) -> float:
    request = message.Request('GET', '/')
    started_at = time.process_time()
    for _ in range(CALLS):
        reply = await client.open(address, request, 2000.0, fresh=fresh)
        await reply.read(len(BODY))
    return (time.process_time() - started_at) / CALLS * 1e6
