"""Build a peer that carries tunnels to an endpoint, over real sockets."""

import asyncio
import contextlib
import dataclasses

from pomelopass.edges import httpclient
from pomelopass import message
from pomelopass.paths import book as books
from pomelopass.paths import ports
from pomelopass.paths import tunnelclient
from pomelopass.paths import tunnelserver
from pomelopass.table import relayserver
from tests import pathbuilders

GET = message.Request('GET', '/')
WITH_LENGTH = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello'
WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\n\r\nhello'


def make_entry(address):
    return dataclasses.replace(
        pathbuilders.make_endpoint('e0'), address=address
    )


@contextlib.asynccontextmanager
async def serve(handler):
    writers = []

    async def serve_connection(reader, writer):
        writers.append(writer)
        await handler(reader, writer)

    listener = await asyncio.start_server(serve_connection, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    try:
        yield f'127.0.0.1:{port}'
    finally:
        for writer in writers:
            writer.close()
        listener.close()


class Peer:
    """A peer with one registered endpoint."""

    def __init__(self, endpoint_address, is_stopping=False):
        self.unreachable = []
        self.leaving = []
        self.book = books.PathBook(lambda: 1, lambda event: None)
        self.entry_by_id = {'e0': make_entry(endpoint_address)}
        self.tunnels = tunnelserver.TunnelServer(
            self.entry_by_id.get,
            lambda: is_stopping,
            self.book,
            self.unreachable.append,
            lambda endpoint_id, started_at_ms: self.leaving.append(
                endpoint_id
            ),
        )
        self.server = relayserver.RelayServer(
            None, self.tunnels.make_handlers()
        )


async def fetch(client, address, timeout_ms=2000):
    reply = await client.open(address, GET, timeout_ms)
    return await reply.read(1 << 20)


def make_client():
    return httpclient.HttpClient(
        tunnelclient.open_tunnel, ports.PEER_TIMEOUT_MS
    )


@contextlib.asynccontextmanager
async def run_tunnel(answer, **options):
    """Yield a client, the address of the endpoint behind a peer, the peer."""
    async with serve(answer) as endpoint_address:
        peer = Peer(endpoint_address, **options)
        client = make_client()
        async with serve(peer.server.serve) as peer_address:
            try:
                yield client, f'{peer_address}/e0', peer
            finally:
                await client.close()


async def answer_each_request(reader, writer):
    with contextlib.suppress(asyncio.IncompleteReadError):
        while True:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(WITH_LENGTH)
    writer.close()
