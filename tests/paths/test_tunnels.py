"""Test connections to endpoints through a peer, over real sockets."""

import asyncio
import contextlib
import dataclasses
import socket
import struct

import pytest

from pomelopass.edges import httpclient
from pomelopass import message
from pomelopass.paths import book as books
from pomelopass.paths import peers as peerbooks
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


def reset(writer):
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


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


async def test_answers_with_and_without_a_length_arrive_whole():
    answers = [WITH_LENGTH, WITHOUT_LENGTH]

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answers.pop(0))
        await writer.drain()
        writer.close()

    async with run_tunnel(answer) as (client, address, _):
        assert await fetch(client, address) == b'hello'
        assert await fetch(client, address) == b'hello'


async def test_tunnel_is_reused_for_the_next_request():
    connections = []

    async def answer(reader, writer):
        connections.append(writer)
        await answer_each_request(reader, writer)

    async with run_tunnel(answer) as (client, address, peer):
        for _ in range(3):
            assert await fetch(client, address) == b'hello'
        assert len(connections) == 1
        assert len(peer.tunnels.tunnels) == 1


async def answer_each_request(reader, writer):
    with contextlib.suppress(asyncio.IncompleteReadError):
        while True:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(WITH_LENGTH)
    writer.close()


# A peer that knows that an endpoint leaves must not carry requests to it.
async def test_open_tunnel_carries_no_request_to_an_endpoint_that_leaves():
    requests = []

    async def answer(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                requests.append(await reader.readuntil(b'\r\n\r\n'))
                writer.write(WITH_LENGTH)
        writer.close()

    async with run_tunnel(answer) as (client, address, peer):
        assert await fetch(client, address) == b'hello'
        del peer.entry_by_id['e0']
        with pytest.raises(message.ExchangeError):
            await fetch(client, address)
    assert len(requests) == 1


async def test_answer_of_an_endpoint_that_leaves_arrives_whole():
    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(WITH_LENGTH[:-3])
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(WITH_LENGTH[-3:])

    async with run_tunnel(answer) as (client, address, peer):
        reply = await client.open(address, GET, 2000)
        del peer.entry_by_id['e0']
        assert await reply.read(1000) == b'hello'


# A reset on the way must not look like the end of a body without a length.
@pytest.mark.parametrize('cut', range(1, len(WITHOUT_LENGTH) + 1))
async def test_answer_reset_at_any_byte_is_not_complete(cut):
    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(WITHOUT_LENGTH[:cut])
        await writer.drain()
        await asyncio.sleep(0.01)
        reset(writer)

    async with run_tunnel(answer) as (client, address, _):
        with pytest.raises(message.ExchangeError) as error_info:
            await fetch(client, address)
        assert error_info.value.bytes_written > 0


async def test_answer_of_a_peer_that_dies_is_not_complete():
    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(WITHOUT_LENGTH)
        await writer.drain()
        await asyncio.sleep(5)

    peer_writers = []

    async with serve(answer) as endpoint_address:
        peer = Peer(endpoint_address)

        async def serve_peer(reader, writer):
            peer_writers.append(writer)
            await peer.server.serve(reader, writer)

        async with serve(serve_peer) as peer_address:
            client = make_client()
            reply = await client.open(f'{peer_address}/e0', GET, 2000)
            # A process that dies closes its connections in order.
            peer_writers[0].close()
            with pytest.raises(message.ExchangeError):
                await reply.read(1000)


async def test_caller_that_leaves_closes_the_connection_to_the_endpoint():
    closed = asyncio.Event()

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhel')
        await reader.read()
        closed.set()

    async with run_tunnel(answer) as (client, address, peer):
        reply = await client.open(address, GET, 2000)
        assert peer.tunnels.is_busy()
        await reply.close()
        await asyncio.wait_for(closed.wait(), 2)
        await asyncio.sleep(0)
        assert not peer.tunnels.tunnels


@pytest.mark.parametrize(
    ('reason', 'kind'),
    [
        ('stopping', peerbooks.PEER_BUSY),
        ('full', peerbooks.PEER_BUSY),
        ('unknown', peerbooks.ENDPOINT_UNREACHABLE),
        ('cut-off', peerbooks.PEER_CUT_OFF),
        ('lost', peerbooks.ENDPOINT_UNREACHABLE),
    ],
)
async def test_peer_that_refuses_a_tunnel_sends_nothing(
    reason, kind, monkeypatch
):
    requests = []
    if reason == 'full':
        monkeypatch.setattr(tunnelserver, 'MAX_TUNNELS', 0)
    options = {'is_stopping': reason == 'stopping'}

    async def answer(reader, writer):
        requests.append(await reader.read(1))
        writer.close()

    async with run_tunnel(answer, **options) as (client, address, peer):
        if reason == 'unknown':
            address = address.replace('/e0', '/e1')
        # Two instances without links must not ask each other in turns.
        if reason == 'cut-off':
            peer.book.record_failure('e0')
        if reason == 'lost':
            peer.book.record_detour('e0')
        with pytest.raises(message.ExchangeError) as error_info:
            await fetch(client, address)
        assert error_info.value.kind == kind
        assert error_info.value.bytes_written == 0
    assert requests == []


# Idle tunnels of many instances must not keep others from their endpoints.
async def test_full_peer_closes_an_idle_tunnel_for_a_new_one(monkeypatch):
    monkeypatch.setattr(tunnelserver, 'MAX_TUNNELS', 2)
    monkeypatch.setattr(tunnelserver, 'BUSY_MS', 50.0)
    async with run_tunnel(answer_each_request) as (client, address, peer):
        other_clients = [make_client(), make_client()]
        assert await fetch(client, address) == b'hello'
        await asyncio.sleep(0.1)
        for other_client in other_clients:
            assert await fetch(other_client, address) == b'hello'
            assert len(peer.tunnels.tunnels) == 2
        # The first one was idle for longest, and its caller opens another.
        assert client.pool.take_idle(address) is None
        for other_client in other_clients:
            await other_client.close()


async def test_full_peer_closes_no_tunnel_that_carries_a_request(monkeypatch):
    monkeypatch.setattr(tunnelserver, 'MAX_TUNNELS', 1)
    monkeypatch.setattr(tunnelserver, 'BUSY_MS', 50.0)

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        await asyncio.sleep(0.3)
        writer.write(WITH_LENGTH)

    async with run_tunnel(answer) as (client, address, peer):
        running = asyncio.ensure_future(fetch(client, address))
        await asyncio.sleep(0.1)
        other_client = make_client()
        with pytest.raises(message.ExchangeError) as error_info:
            await fetch(other_client, address)
        assert error_info.value.kind == peerbooks.PEER_BUSY
        assert await running == b'hello'
        await other_client.close()


async def test_peer_learns_that_it_does_not_reach_the_endpoint_either():
    async with serve(lambda r, w: None) as endpoint_address:
        pass
    peer = Peer(endpoint_address)
    async with serve(peer.server.serve) as peer_address:
        with pytest.raises(message.ExchangeError) as error_info:
            await fetch(make_client(), f'{peer_address}/e0')
    assert error_info.value.kind == peerbooks.ENDPOINT_UNREACHABLE
    assert error_info.value.bytes_written == 0
    assert peer.unreachable == ['e0']


async def test_report_that_an_endpoint_leaves_reaches_the_peer():
    events = []
    async with run_tunnel(lambda r, w: None) as (_, address, peer):
        sender = tunnelclient.PeerEndpoints(None, events.append)
        relay_address = address.partition('/')[0]
        carrier = dataclasses.replace(
            pathbuilders.make_member('peer'), relay_address=relay_address
        )
        target = pathbuilders.make_endpoint('e0')
        await sender.report_leaving(carrier, target)
        assert peer.leaving == ['e0']
    # A peer that is gone leaves a line in the log only.
    await sender.report_leaving(carrier, target)
    assert [event.kind for event in events] == ['leaving-not-reported']
