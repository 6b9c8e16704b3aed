"""Test calls to the table service through peers."""

import asyncio
import random

import pytest

from pomelopass.table import relay
from pomelopass.table import relayserver
from pomelopass.table import rows
from standins import rowtable


async def start_peer(table, serving_clients):
    async def serve(reader, writer):
        serving_clients.append(table)
        await relayserver.RelayServer(table).serve(reader, writer)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    return server, f'{host}:{port}'


async def test_peer_that_answered_is_asked_again_until_it_fails():
    service = rowtable.RowService()
    clients = [rowtable.RowClient(service, random.Random(1)) for _ in range(3)]
    serving_clients = []
    peers = [await start_peer(client, serving_clients) for client in clients]
    table = relay.RelayedTable(
        lambda: [address for _, address in peers], random.Random(7)
    )
    for _ in range(8):
        await table.read(rows.Range('t', ''))
    assert len({id(client) for client in serving_clients}) == 1
    serving_clients[0].faults.down = True
    with pytest.raises(rows.TableError):
        await table.read(rows.Range('t', ''))
    await table.read(rows.Range('t', ''))
    assert serving_clients[-1] is not serving_clients[0]
    for server, _ in peers:
        server.close()
