"""Test the table client over HTTP against a raw server."""

import asyncio
import contextlib

import pytest

from pomelopass.edges import httpclient
from pomelopass.platform import rowclient
from pomelopass.table import rows

RANGE = rows.Range('t', '')
PAGE = b'{"rows":[],"has_more":false,"ver":7,"now_ms":1}'
IDLE_CONNECTIONS = 3


class SilentServer:
    """Server whose open connections may go silent while new ones work."""

    def __init__(self):
        self.silent_writers = set()
        self.writers = set()
        self.requests = 0
        self.all_arrived = asyncio.Event()

    def go_silent(self):
        self.silent_writers |= self.writers

    async def serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                self.requests += 1
                if self.requests == IDLE_CONNECTIONS:
                    self.all_arrived.set()
                await self.all_arrived.wait()
                if writer not in self.silent_writers:
                    writer.write(
                        b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s'
                        % (len(PAGE), PAGE)
                    )
        writer.close()


@contextlib.asynccontextmanager
async def start_client(server):
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    http = httpclient.HttpClient()
    yield rowclient.RowClient(http, f'127.0.0.1:{port}')
    await http.close()
    for writer in server.writers:
        writer.close()
    listener.close()


# Each further idle connection would cost another timeout.
async def test_only_one_call_is_lost_when_all_idle_connections_go_silent():
    server = SilentServer()
    async with start_client(server) as client:
        await asyncio.gather(
            *(client.read(RANGE) for _ in range(IDLE_CONNECTIONS))
        )
        server.go_silent()
        with pytest.raises(rows.TableError):
            await client.read(RANGE)
        assert (await client.read(RANGE)).version == 7
