"""Prove verdicts and connection reuse against a raw server."""

import asyncio
import contextlib
import socket
import time

import pytest

from pomelopass.core import verdict
from pomelopass.edges import httpclient
from pomelopass import message

REPLY = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n'
    b'transfer-encoding: chunked\r\n\r\n'
    b'5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n'
)
GET = message.Request('GET', '/')


@contextlib.asynccontextmanager
async def serve(handler):
    """Listen with a raw handler; yield the address."""
    listener = await asyncio.start_server(handler, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    try:
        yield f'127.0.0.1:{port}'
    finally:
        listener.close()


async def fetch(client, address: str, timeout_ms: float = 3000) -> bytes:
    """Return the whole body."""
    reply = await client.open(address, GET, timeout_ms)
    return await reply.read(1 << 20)


async def test_reply_cut_at_every_byte_is_never_whole():
    for cut in range(len(REPLY)):

        async def answer(reader, writer, cut=cut):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(REPLY[:cut])
            writer.close()

        async with serve(answer) as address:
            client = httpclient.HttpClient()
            with pytest.raises(message.ExchangeError) as caught:
                await fetch(client, address)
            written = caught.value.bytes_written
            outcome = verdict.get_attempt_verdict(written, False)
            assert outcome == verdict.Verdict.MAY_HAVE_RUN
            assert not client.idle_by_address.get(address)


async def test_refused_connection_has_not_run():
    client = httpclient.HttpClient()
    async with serve(lambda r, w: None) as address:
        pass
    with pytest.raises(message.ExchangeError) as caught:
        await fetch(client, address)
    assert caught.value.bytes_written == 0


async def test_late_answer_never_reaches_the_next_request():
    seen = []

    async def answer(reader, writer):
        seen.append(writer)
        first = len(seen) == 1
        await reader.readuntil(b'\r\n\r\n')
        if first:
            await asyncio.sleep(0.3)
        body = b'late!' if first else b'right'
        with contextlib.suppress(OSError):
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n')
            writer.write(body)
            await writer.drain()
            await reader.read()

    async with serve(answer) as address:
        client = httpclient.HttpClient()
        with pytest.raises(message.ExchangeError):
            await fetch(client, address, 50)
        await asyncio.sleep(0.4)
        assert await fetch(client, address) == b'right'
        assert len(seen) == 2
        await client.close()


async def test_whole_reply_keeps_the_connection():
    connections = []

    async def answer(reader, writer):
        connections.append(1)
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(REPLY)
        writer.close()

    async with serve(answer) as address:
        client = httpclient.HttpClient()
        for _ in range(5):
            assert await fetch(client, address) == b'hello world'
        await client.close()
        assert len(connections) == 1


async def test_surplus_bytes_after_a_reply_end_the_connection():
    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(REPLY + REPLY)
        with contextlib.suppress(OSError):
            await reader.read()

    async with serve(answer) as address:
        client = httpclient.HttpClient()
        assert await fetch(client, address) == b'hello world'
        assert not client.idle_by_address.get(address)


async def test_address_whose_ending_process_resets_is_refused():
    listeners = []

    def reset_and_end(reader, writer):
        listeners[0].close()
        writer.transport.abort()

    listener = await asyncio.start_server(reset_and_end, '127.0.0.1', 0)
    listeners.append(listener)
    port = listener.sockets[0].getsockname()[1]
    client = httpclient.HttpClient()
    assert await client.is_refused(f'127.0.0.1:{port}', 1000)


async def test_address_that_resets_all_but_still_listens_is_not_refused():
    async with serve(lambda r, w: w.transport.abort()) as address:
        assert not await httpclient.HttpClient().is_refused(address, 1000)


async def test_address_that_holds_a_connection_is_not_refused():
    async def hold(reader, writer):
        await reader.read()
        writer.close()

    async with serve(hold) as address:
        assert not await httpclient.HttpClient().is_refused(address, 1000)


def serve_parts(parts, gap_s):
    """Return a handler that sends its parts with pauses between them."""

    async def handle(reader, writer):
        while await reader.read(65_536):
            for part in parts:
                writer.write(part)
                await asyncio.sleep(gap_s)

    return handle


async def test_silence_in_a_body_ends_the_read_after_the_stall_time():
    async with serve(serve_parts([REPLY[:-5]], 0)) as address:
        client = httpclient.HttpClient()
        reply = await client.open(address, GET, 60_000, stall_ms=50)
        with pytest.raises(message.ExchangeError) as caught:
            await reply.read(1 << 20)
        assert caught.value.kind == 'timeout'
        assert not client.idle_by_address.get(address)


async def test_parts_that_keep_coming_may_take_longer_than_the_stall_time():
    parts = [REPLY[index : index + 8] for index in range(0, len(REPLY), 8)]
    async with serve(serve_parts(parts, 0.03)) as address:
        client = httpclient.HttpClient()
        reply = await client.open(address, GET, 60_000, stall_ms=200)
        assert await reply.read(1 << 20) == b'hello world'


async def test_a_slow_reader_is_not_taken_for_a_silent_endpoint():
    async with serve(serve_parts([REPLY], 0)) as address:
        client = httpclient.HttpClient()
        reply = await client.open(address, GET, 60_000, stall_ms=50)
        await asyncio.sleep(0.2)
        assert await reply.read(1 << 20) == b'hello world'


async def test_a_kept_connection_takes_the_limit_of_its_next_request():
    silent = asyncio.Event()

    async def handle(reader, writer):
        while await reader.read(65_536):
            if silent.is_set():
                continue
            writer.write(REPLY)

    async with serve(handle) as address:
        client = httpclient.HttpClient()
        assert await fetch(client, address, 60_000) == b'hello world'
        assert client.idle_by_address[address]
        silent.set()
        with pytest.raises(message.ExchangeError) as caught:
            await fetch(client, address, 100)
        assert caught.value.kind == 'timeout'


async def test_a_head_that_cannot_be_written_has_not_run():
    async with serve(lambda r, w: None) as address:
        client = httpclient.HttpClient()
        request = message.Request('GET', '/', (('x', 'a\nb'),))
        with pytest.raises(message.ExchangeError) as caught:
            await client.open(address, request, 3000)
        assert caught.value.bytes_written == 0


async def test_bytes_that_come_at_the_limit_are_no_timeout():
    loop = asyncio.get_running_loop()
    with socket.create_server(('127.0.0.1', 0)) as listener:
        listener.setblocking(False)
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        client = httpclient.HttpClient()
        opening = asyncio.create_task(
            client.open(address, GET, 60_000, stall_ms=100)
        )
        far, _ = await loop.sock_accept(listener)
        cut = REPLY.index(b'6\r\n')
        far.sendall(REPLY[:cut])
        reply = await opening
        assert await anext(reply.chunks) == b'hello'
        reading = asyncio.create_task(anext(reply.chunks))
        await asyncio.sleep(0)
        far.sendall(REPLY[cut:-5])
        # The loop finds the bytes and the limit in one turn.
        time.sleep(0.2)  # noqa: ASYNC251
        assert await reading == b' world'
        far.sendall(REPLY[-5:])
        assert [chunk async for chunk in reply.chunks] == []
        far.close()
