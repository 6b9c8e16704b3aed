"""Test the HTTP server with invalid input and misbehaving clients."""

import asyncio
import json
import socket

import pytest

from pomelopass.edges import callerload
from pomelopass.edges import callermemory
from pomelopass.edges import httpserver
from pomelopass import message
from pomelopass.reporting import problemdetails
from tests import entrybuilders

MAX_BODY_BYTES = 1000


async def echo(request: message.Request) -> message.Reply:
    """Reply with the body of the request."""
    return message.Reply(200, (), request.body)


async def exchange(data: bytes, handler=echo) -> bytes:
    """Send raw bytes to a new server and return the complete response."""
    server = httpserver.HttpServer(
        handler, problemdetails.make_status_refusal, MAX_BODY_BYTES, 2
    )
    address, _ = await httpserver.start_server(server, '127.0.0.1:0')
    port = int(address.rpartition(':')[2])
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(data)
    writer.write_eof()
    async with asyncio.timeout(5):
        response = await reader.read()
    writer.close()
    await server.close()
    return response


@pytest.mark.parametrize(
    'data',
    [
        b'garbage\r\n\r\n',
        b'GET / HTTP/1.1\r\n\r\n',
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n',
        b'GET / HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n',
        b'GET /' + b'a' * 40_000 + b' HTTP/1.1\r\nhost: a\r\n\r\n',
    ],
)
async def test_malformed_request_gets_problem_details_and_a_close(data):
    response = await exchange(data)
    head, _, body = response.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 4')
    assert b'connection: close' in head.lower()
    assert json.loads(body)['verdict'] == 'not-run'


async def test_oversized_body_gets_413():
    size = MAX_BODY_BYTES + 1
    data = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n' % size
    response = await exchange(data + b'x' * size)
    assert response.startswith(b'HTTP/1.1 413')


async def test_pipelined_requests_are_answered_in_order():
    head = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n'
    response = await exchange(head + b'1' + head + b'2')
    assert response.count(b'HTTP/1.1 200') == 2
    assert response.index(b'\r\n\r\n1') < response.index(b'\r\n\r\n2')


async def test_broken_stream_has_no_final_chunk():
    async def handler(request):
        async def chunks():
            yield b'part'
            raise ConnectionResetError

        return message.Reply(200, (), chunks=chunks())

    response = await exchange(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n', handler)
    assert b'part' in response
    assert not response.endswith(b'0\r\n\r\n')


async def test_buffer_for_a_client_that_does_not_read_is_bounded():
    yielded_chunks = []

    async def handler(request):
        async def chunks():
            for _ in range(1000):
                yielded_chunks.append(1)
                yield b'x' * 65_536

        return message.Reply(200, (), chunks=chunks())

    server = httpserver.HttpServer(
        handler, problemdetails.make_status_refusal, MAX_BODY_BYTES, 2
    )
    address, _ = await httpserver.start_server(server, '127.0.0.1:0')
    port = int(address.rpartition(':')[2])
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
    await asyncio.sleep(0.5)
    assert len(yielded_chunks) < 500
    writer.close()
    await server.close()


# Without chunks the close of the connection would look like the end.
@pytest.mark.parametrize('breaks', [True, False])
async def test_broken_stream_is_reset_for_a_caller_of_http_1_0(breaks):
    async def handler(request):
        async def chunks():
            yield b'id: 1\n\n'
            await asyncio.sleep(0.02)
            if breaks:
                raise ConnectionResetError

        return message.Reply(200, (), chunks=chunks())

    data = b'GET / HTTP/1.0\r\nhost: a\r\n\r\n'
    server = httpserver.HttpServer(
        handler, problemdetails.make_status_refusal, MAX_BODY_BYTES, 2
    )
    address, _ = await httpserver.start_server(server, '127.0.0.1:0')
    port = int(address.rpartition(':')[2])
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(data)
    await reader.readuntil(b'id: 1\n\n')
    if breaks:
        with pytest.raises(ConnectionResetError):
            await reader.read()
    else:
        assert await reader.read() == b''
    writer.close()
    await server.close()


# Callers that find no connection are in no log; the count shows the others.
async def test_connections_are_counted_by_their_outcome():
    server = httpserver.HttpServer(
        echo, problemdetails.make_status_refusal, MAX_BODY_BYTES, 2
    )
    address, _ = await httpserver.start_server(server, '127.0.0.1:0')
    port = int(address.rpartition(':')[2])
    writers = []
    for _ in range(2):
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writers.append(writer)
    async with asyncio.timeout(5):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        assert (await reader.read()).startswith(b'HTTP/1.1 503')
    writers.append(writer)
    count_by_outcome = server.connections.count_by_outcome
    assert count_by_outcome == {'accepted': 3, 'refused': 1}
    for writer in writers:
        writer.close()
    await server.close()


# The whole body went into the connection's buffer, once more.
async def test_body_for_a_caller_that_reads_nothing_is_not_buffered_whole():
    memory = entrybuilders.make_memory()
    kept = memory.open('endpoint', lambda: None)
    body = b'x' * 8_000_000
    kept.resize(len(body))
    reply = message.Reply(200, (), body, kept=kept)
    served = []

    async def handle(request):
        served.append(request)
        return reply

    server = httpserver.HttpServer(
        handle, problemdetails.make_status_refusal, MAX_BODY_BYTES, 2
    )
    writers = []
    serve = server.serve

    async def serve_noted(reader, writer):
        writers.append(writer)
        await serve(reader, writer)

    server.serve = serve_noted
    address, _ = await httpserver.start_server(server, '127.0.0.1:0')
    port = int(address.rpartition(':')[2])
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
    async with asyncio.timeout(5):
        # The caller's own buffers are full when the server waits.
        while not (writers and writers[0].transport.get_write_buffer_size()):
            await asyncio.sleep(0.01)
        assert writers[0].transport.get_write_buffer_size() < 200_000
        # Memory is short: the reply is broken off, and looks so.
        kept.drop()
        with pytest.raises((asyncio.IncompleteReadError, OSError)):
            await reader.readexactly(len(body))
    writer.close()
    await server.close()


# h11 refused such a header as text: the connection closed unanswered.
async def test_reply_with_a_header_that_is_not_ascii_is_sent_unchanged():
    name = 'peças.csv'.encode()

    async def handle(request):
        value = message.find_header(request.headers, 'x-name')
        return message.Reply(200, (('x-name', value),), b'ok')

    data = b'GET / HTTP/1.1\r\nhost: a\r\nx-name: ' + name + b'\r\n\r\n'
    response = await exchange(data, handle)
    assert response.startswith(b'HTTP/1.1 200')
    assert b'x-name: ' + name + b'\r\n' in response
    assert response.endswith(b'\r\n\r\nok')


# Each response was bounded, but not those that many callers did not read.
async def test_response_that_is_not_read_leaves_for_another():
    body = b'x' * 8_000_000

    async def handle(request):
        return message.Reply(200, (), body)

    memory = callermemory.CallerMemory(len(body) + 1)
    server = httpserver.HttpServer(
        handle,
        problemdetails.make_status_refusal,
        MAX_BODY_BYTES,
        4,
        callerload.CallerLoad(memory),
    )
    address, _ = await httpserver.start_server(server, '127.0.0.1:0')
    port = int(address.rpartition(':')[2])
    writers = []
    for reads_all in (False, True):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writers.append(writer)
        writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        async with asyncio.timeout(5):
            await reader.readuntil(b'\r\n\r\n')
            if reads_all:
                assert await reader.readexactly(len(body)) == body
    assert memory.count_by_outcome['evicted'] == 1
    for writer in writers:
        writer.close()
    await server.close()


# Up to 64 KB of responses waited in each connection that read none.
async def test_next_request_waits_until_the_response_is_taken():
    async def handle(request):
        return message.Reply(200, (), b'x' * 1000)

    server = httpserver.HttpServer(
        handle, problemdetails.make_status_refusal, MAX_BODY_BYTES, 2
    )
    writers = []
    serve = server.serve

    async def serve_noted(reader, writer):
        writers.append(writer)
        await serve(reader, writer)

    server.serve = serve_noted
    address, _ = await httpserver.start_server(server, '127.0.0.1:0')
    port = int(address.rpartition(':')[2])
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(('127.0.0.1', port))
    client.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n' * 1000)
    most = 0
    async with asyncio.timeout(5):
        while not (writers and writers[0].transport.get_write_buffer_size()):
            await asyncio.sleep(0.01)
    for _ in range(20):
        most = max(most, writers[0].transport.get_write_buffer_size())
        await asyncio.sleep(0.01)
    assert most < 2000
    client.close()
    await server.close()


# The close reset the connection, so that the caller lost the refusal, which
# guarantees that nothing ran.
async def test_caller_reads_why_its_body_was_refused():
    memory = callermemory.CallerMemory(20_000)
    server = httpserver.HttpServer(
        echo,
        problemdetails.make_status_refusal,
        2_000_000,
        2,
        callerload.CallerLoad(memory),
    )
    address, _ = await httpserver.start_server(server, '127.0.0.1:0')
    port = int(address.rpartition(':')[2])
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    head = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n'
    writer.write(head + b'x' * 1_000_000)
    async with asyncio.timeout(5):
        await writer.drain()
        response = await reader.read()
    assert response.startswith(b'HTTP/1.1 503')
    assert memory.total == 0
    writer.close()
    await server.close()
