"""Test replies without an end against a raw socket server."""

import asyncio

import pytest

from pomelopass.edges import httpclient
from pomelopass import message
from tests.edges import test_httpclient

# The exchange itself would wait as long as a batch job may take.
TIMEOUT_MS = 60_000
GUARD_S = 20


def make_endless(start: bytes, piece: bytes, pause_s: float, closed):
    """Return a handler that sends pieces until the client closes."""

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        try:
            writer.write(start)
            while not reader.at_eof():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except OSError:
            pass
        closed.set()
        writer.close()

    return answer


@pytest.mark.parametrize(
    ('start', 'piece', 'pause_s'),
    [
        (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n', 0.001),
        (b'HTTP/1.1 200 OK\r\nx: ', b'y', 0.05),
        (b'HTTP/1.1 200 OK\r\n', b'x: yyyyyyyyyyyyyyyyyyyy\r\n', 0.001),
        (b'', b'\x00\xff garbage', 0.001),
    ],
    ids=['early-hints', 'dripping-line', 'many-lines', 'garbage'],
)
async def test_head_without_an_end_is_an_error(start, piece, pause_s):
    closed = asyncio.Event()
    handler = make_endless(start, piece, pause_s, closed)
    async with test_httpclient.serve(handler) as address:
        client = httpclient.HttpClient()
        async with asyncio.timeout(GUARD_S):
            with pytest.raises(message.ExchangeError):
                await client.open(address, test_httpclient.GET, TIMEOUT_MS)
            await closed.wait()


async def test_bytes_after_a_reply_close_the_idle_connection():
    closed = asyncio.Event()
    reply = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(reply)
        await asyncio.sleep(0.05)
        await make_endless(b'', b'x' * 1000, 0.001, closed)(
            _Replayed(reader), writer
        )

    async with test_httpclient.serve(answer) as address:
        client = httpclient.HttpClient()
        async with asyncio.timeout(GUARD_S):
            assert await test_httpclient.fetch(client, address) == b'ok'
            await closed.wait()


class _Replayed:
    """Reader whose request has been read."""

    def __init__(self, reader):
        self.at_eof = reader.at_eof

    async def readuntil(self, separator):
        return separator
