"""Test how many tunnels a peer carries."""

import asyncio

import pytest

from pomelopass import message
from pomelopass.paths import peers as peerbooks
from pomelopass.paths import tunnelserver
from tests import tunnelbuilders


# Idle tunnels of many instances must not keep others from their endpoints.
async def test_full_peer_closes_an_idle_tunnel_for_a_new_one(monkeypatch):
    monkeypatch.setattr(tunnelserver, 'MAX_TUNNELS', 2)
    monkeypatch.setattr(tunnelserver, 'BUSY_MS', 0.0)
    async with tunnelbuilders.run_tunnel(
        tunnelbuilders.answer_each_request
    ) as (client, address, peer):
        other_clients = [
            tunnelbuilders.make_client(),
            tunnelbuilders.make_client(),
        ]
        assert await tunnelbuilders.fetch(client, address) == b'hello'
        for other_client in other_clients:
            assert (
                await tunnelbuilders.fetch(other_client, address) == b'hello'
            )
            assert len(peer.tunnels.tunnels) == 2
        # The first one was idle for longest, and its caller opens another.
        assert client.pool.take_idle(address) is None
        for other_client in other_clients:
            await other_client.close()


async def test_full_peer_closes_no_tunnel_that_carries_a_request(monkeypatch):
    monkeypatch.setattr(tunnelserver, 'MAX_TUNNELS', 1)
    monkeypatch.setattr(tunnelserver, 'BUSY_MS', 0.0)

    received = asyncio.Event()
    may_answer = asyncio.Event()

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        received.set()
        await may_answer.wait()
        writer.write(tunnelbuilders.WITH_LENGTH)

    async with tunnelbuilders.run_tunnel(answer) as (client, address, peer):
        running = asyncio.ensure_future(tunnelbuilders.fetch(client, address))
        await received.wait()
        other_client = tunnelbuilders.make_client()
        with pytest.raises(message.ExchangeError) as error_info:
            await tunnelbuilders.fetch(other_client, address)
        assert error_info.value.kind == peerbooks.PEER_BUSY
        may_answer.set()
        assert await running == b'hello'
        await other_client.close()
