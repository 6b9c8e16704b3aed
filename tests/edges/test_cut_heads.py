"""Test that no head of an answer that is cut off counts as an answer."""

import asyncio
import contextlib
import socket
import struct

import pytest

from pomelopass.edges import httpclient
from pomelopass import message
from pomelopass.platform import endpointclient
from pomelopass.platform import rowclient
from pomelopass.registry import endpoint as endpoints
from pomelopass.requests import call as calls
from pomelopass.table import rows

HEADS = {
    'length': b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n'
    b'attempt-id: id-1\r\nserver-stamp: s\r\n\r\n',
    'late-length': b'HTTP/1.1 200 OK\r\nattempt-id: id-1\r\n'
    b'server-stamp: s\r\ncontent-length: 12\r\n\r\n',
    'chunks': b'HTTP/1.1 200 OK\r\nserver-stamp: s\r\n'
    b'attempt-id: id-1\r\ntransfer-encoding: chunked\r\n\r\n',
    'neither': b'HTTP/1.1 200 OK\r\nattempt-id: id-1\r\nserver-stamp: s\r\n'
    b'content-type: text/event-stream\r\n\r\n',
}
CUTS = [
    (name, size) for name, head in HEADS.items() for size in range(len(head))
]
CALL = calls.Call('id-1', 'h', 'POST', '/', (), b'x', None)


@contextlib.asynccontextmanager
async def serve(data, resets):
    """Answer with some bytes, then close or reset; yield the address."""

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(data)
        await writer.drain()
        if resets:
            # Lets the bytes arrive before the reset.
            await asyncio.sleep(0.002)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()
        writer.close()

    listener = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    try:
        yield f'127.0.0.1:{port}'
    finally:
        listener.close()


@pytest.mark.parametrize('resets', [False, True])
async def test_head_cut_at_any_byte_is_no_answer_of_an_endpoint(resets):
    for name, size in CUTS:
        async with serve(HEADS[name][:size], resets) as address:
            client = endpointclient.EndpointClient(httpclient.HttpClient())
            target = endpoints.Endpoint(
                'e0', 'desk', address, 'north', 8, False, {}, 1
            )
            with pytest.raises(calls.CallFailedError) as error_info:
                await client.open(target, CALL, 2000)
            assert error_info.value.may_have_run
            assert await client.fetch_report(target) is None


@pytest.mark.parametrize('resets', [False, True])
async def test_head_cut_at_any_byte_is_no_answer_of_the_table(resets):
    name = 'length'
    for size in range(len(HEADS[name])):
        async with serve(HEADS[name][:size], resets) as address:
            client = rowclient.RowClient(httpclient.HttpClient(), address)
            with pytest.raises(rows.TableError):
                await client.read(rows.Range('t', '', '', None, 1))


# A body without a length ends with its connection, in order only.
async def test_reset_after_a_whole_head_without_a_length_is_no_end():
    async with serve(HEADS['neither'] + b'half', resets=True) as address:
        client = httpclient.HttpClient()
        with pytest.raises(message.ExchangeError):
            reply = await client.open(
                address, message.Request('GET', '/'), 2000
            )
            await reply.read(100)
