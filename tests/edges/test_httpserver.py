"""Check the HTTP server against bad input and odd callers."""

import asyncio
import json

import pytest

from pomelopass.edges import httpserver
from pomelopass import message
from pomelopass.reporting import problemdetails

MAX_BODY_BYTES = 1000


async def echo(request: message.Request) -> message.Reply:
    """Give the body back."""
    return message.Reply(200, (), request.body)


async def exchange(data: bytes, handler=echo) -> bytes:
    """Send raw bytes to a new server and return all that comes back."""
    server = httpserver.HttpServer(
        handler, problemdetails.make_status_refusal, MAX_BODY_BYTES, 2
    )
    address, _ = await httpserver.start_server(server, '127.0.0.1:0')
    port = int(address.rpartition(':')[2])
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(data)
    writer.write_eof()
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    await server.close()
    return answer


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
    answer = await exchange(data)
    head, _, body = answer.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 4')
    assert b'connection: close' in head.lower()
    assert json.loads(body)['verdict'] == 'not-run'


async def test_oversized_body_gets_413():
    size = MAX_BODY_BYTES + 1
    data = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n' % size
    answer = await exchange(data + b'x' * size)
    assert answer.startswith(b'HTTP/1.1 413')


async def test_pipelined_requests_are_answered_in_turn():
    one = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n'
    answer = await exchange(one + b'1' + one + b'2')
    assert answer.count(b'HTTP/1.1 200') == 2
    assert answer.index(b'\r\n\r\n1') < answer.index(b'\r\n\r\n2')


async def test_stream_that_breaks_is_not_ended_as_whole():
    async def handler(request):
        async def chunks():
            yield b'part'
            raise ConnectionResetError

        return message.Reply(200, (), chunks=chunks())

    answer = await exchange(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n', handler)
    assert b'part' in answer
    assert not answer.endswith(b'0\r\n\r\n')


async def test_caller_that_reads_nothing_holds_a_bounded_buffer():
    produced = []

    async def handler(request):
        async def chunks():
            for _ in range(1000):
                produced.append(1)
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
    assert len(produced) < 500
    writer.close()
    await server.close()
