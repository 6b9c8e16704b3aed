"""Test connections to endpoints through a peer, over real sockets."""

import asyncio
import contextlib
import dataclasses
import socket
import struct

import pytest

from pomelopass import message
from pomelopass.paths import peers as peerbooks
from pomelopass.paths import tunnelclient
from pomelopass.paths import tunnelserver
from tests import pathbuilders
from tests import tunnelbuilders


def reset(writer):
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


async def test_answers_with_and_without_a_length_arrive_whole():
    answers = [tunnelbuilders.WITH_LENGTH, tunnelbuilders.WITHOUT_LENGTH]

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answers.pop(0))
        await writer.drain()
        writer.close()

    async with tunnelbuilders.run_tunnel(answer) as (client, address, _):
        assert await tunnelbuilders.fetch(client, address) == b'hello'
        assert await tunnelbuilders.fetch(client, address) == b'hello'


async def test_tunnel_is_reused_for_the_next_request():
    connections = []

    async def answer(reader, writer):
        connections.append(writer)
        await tunnelbuilders.answer_each_request(reader, writer)

    async with tunnelbuilders.run_tunnel(answer) as (client, address, peer):
        for _ in range(3):
            assert await tunnelbuilders.fetch(client, address) == b'hello'
        assert len(connections) == 1
        assert len(peer.tunnels.tunnels) == 1


# A peer that knows that an endpoint leaves must not carry requests to it.
async def test_open_tunnel_carries_no_request_to_an_endpoint_that_leaves():
    requests = []

    async def answer(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                requests.append(await reader.readuntil(b'\r\n\r\n'))
                writer.write(tunnelbuilders.WITH_LENGTH)
        writer.close()

    async with tunnelbuilders.run_tunnel(answer) as (client, address, peer):
        assert await tunnelbuilders.fetch(client, address) == b'hello'
        del peer.entry_by_id['e0']
        with pytest.raises(message.ExchangeError):
            await tunnelbuilders.fetch(client, address)
    assert len(requests) == 1


async def test_answer_of_an_endpoint_that_leaves_arrives_whole():
    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(tunnelbuilders.WITH_LENGTH[:-3])
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(tunnelbuilders.WITH_LENGTH[-3:])

    async with tunnelbuilders.run_tunnel(answer) as (client, address, peer):
        reply = await client.open(address, tunnelbuilders.GET, 2000)
        del peer.entry_by_id['e0']
        assert await reply.read(1000) == b'hello'


# A reset on the way must not look like the end of a body without a length.
@pytest.mark.parametrize(
    'cut', range(1, len(tunnelbuilders.WITHOUT_LENGTH) + 1)
)
async def test_answer_reset_at_any_byte_is_not_complete(cut):
    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(tunnelbuilders.WITHOUT_LENGTH[:cut])
        await writer.drain()
        await asyncio.sleep(0.01)
        reset(writer)

    async with tunnelbuilders.run_tunnel(answer) as (client, address, _):
        with pytest.raises(message.ExchangeError) as error_info:
            await tunnelbuilders.fetch(client, address)
        assert error_info.value.bytes_written > 0


async def test_answer_of_a_peer_that_dies_is_not_complete():
    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(tunnelbuilders.WITHOUT_LENGTH)
        await writer.drain()
        await asyncio.sleep(5)

    peer_writers = []

    async with tunnelbuilders.serve(answer) as endpoint_address:
        peer = tunnelbuilders.Peer(endpoint_address)

        async def serve_peer(reader, writer):
            peer_writers.append(writer)
            await peer.server.serve(reader, writer)

        async with tunnelbuilders.serve(serve_peer) as peer_address:
            client = tunnelbuilders.make_client()
            reply = await client.open(
                f'{peer_address}/e0', tunnelbuilders.GET, 2000
            )
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

    async with tunnelbuilders.run_tunnel(answer) as (client, address, peer):
        reply = await client.open(address, tunnelbuilders.GET, 2000)
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

    async with tunnelbuilders.run_tunnel(answer, **options) as (
        client,
        address,
        peer,
    ):
        if reason == 'unknown':
            address = address.replace('/e0', '/e1')
        # Two instances without links must not ask each other in turns.
        if reason == 'cut-off':
            peer.book.record_failure('e0')
        if reason == 'lost':
            peer.book.record_detour('e0')
        with pytest.raises(message.ExchangeError) as error_info:
            await tunnelbuilders.fetch(client, address)
        assert error_info.value.kind == kind
        assert error_info.value.bytes_written == 0
    assert requests == []


async def test_peer_learns_that_it_does_not_reach_the_endpoint_either():
    async with tunnelbuilders.serve(lambda r, w: None) as endpoint_address:
        pass
    peer = tunnelbuilders.Peer(endpoint_address)
    async with tunnelbuilders.serve(peer.server.serve) as peer_address:
        with pytest.raises(message.ExchangeError) as error_info:
            await tunnelbuilders.fetch(
                tunnelbuilders.make_client(), f'{peer_address}/e0'
            )
    assert error_info.value.kind == peerbooks.ENDPOINT_UNREACHABLE
    assert error_info.value.bytes_written == 0
    assert peer.unreachable == ['e0']


async def test_report_that_an_endpoint_leaves_reaches_the_peer():
    events = []
    async with tunnelbuilders.run_tunnel(lambda r, w: None) as (
        _,
        address,
        peer,
    ):
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
