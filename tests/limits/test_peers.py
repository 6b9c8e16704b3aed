"""Test reservations between instances over TCP."""

import asyncio

import pytest

from pomelopass.fleet import member
from pomelopass.limits import book as books
from pomelopass.limits import peers
from pomelopass.limits import sharing
from pomelopass.table import relayserver
from pomelopass.wire.gen.permits import PermitAllocator

LIMIT = books.NamedLimit(2.0, 1000)


def make_peer(address):
    return member.Member('a', 'a-1', 'n', address, address, True, 1, {})


async def start_peer():
    shared = sharing.LimitSharing(
        books.LimitBook(),
        member.Membership('a'),
        peers.ThriftPeers(),
        lambda: 1000,
        lambda event: None,
    )
    handler = relayserver.Handler(
        PermitAllocator, peers.make_reserve_handler(shared)
    )
    relay_server = relayserver.RelayServer(None, {'reserve': handler})
    server = await asyncio.start_server(relay_server.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    return server, f'{host}:{port}', shared


async def test_peer_allots_requests_and_learns_the_limit():
    server, address, shared = await start_peer()
    client = peers.ThriftPeers()
    first = await client.reserve(make_peer(address), 'e', LIMIT, 1)
    second = await client.reserve(make_peer(address), 'e', LIMIT, 1)
    assert (first.count, first.wait_ms) == (1, 0.0)
    assert second.count == 0 or second.wait_ms > 0
    assert shared.book.limit_by_endpoint == {'e': LIMIT}
    server.close()


async def test_peer_that_is_gone_raises_an_error():
    server, address, _ = await start_peer()
    server.close()
    await server.wait_closed()
    with pytest.raises(sharing.PeerFailedError):
        await peers.ThriftPeers().reserve(make_peer(address), 'e', LIMIT, 1)
