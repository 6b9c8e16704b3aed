"""Test verdicts and connection reuse against a raw socket server."""

import asyncio
import contextlib
import socket
import time

import pytest
import pytest_asyncio

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
    """Serve connections with a raw handler; yield the address."""
    writers = []

    async def serve_connection(reader, writer):
        writers.append(writer)
        result = handler(reader, writer)
        if asyncio.iscoroutine(result):
            await result

    listener = await asyncio.start_server(serve_connection, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    try:
        yield f'127.0.0.1:{port}'
    finally:
        for writer in writers:
            writer.close()
        listener.close()


@pytest_asyncio.fixture
async def client():
    """Yield a client whose connections are closed after the test."""
    client = httpclient.HttpClient()
    yield client
    await client.close()


async def fetch(client, address: str, timeout_ms: float = 3000) -> bytes:
    """Send a GET request and return the complete body."""
    reply = await client.open(address, GET, timeout_ms)
    return await reply.read(1 << 20)


async def test_reply_truncated_at_any_byte_is_an_error(client):
    for cut in range(len(REPLY)):

        async def answer(reader, writer, cut=cut):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(REPLY[:cut])
            writer.close()

        async with serve(answer) as address:
            with pytest.raises(message.ExchangeError) as error_info:
                await fetch(client, address)
            bytes_written = error_info.value.bytes_written
            outcome = verdict.get_attempt_verdict(bytes_written, False)
            assert outcome == verdict.Verdict.MAY_HAVE_RUN
            assert not client.pool.idle_by_address.get(address)


async def test_refused_connection_sends_no_bytes(client):
    async with serve(lambda r, w: None) as address:
        pass
    with pytest.raises(message.ExchangeError) as error_info:
        await fetch(client, address)
    assert error_info.value.bytes_written == 0


async def test_late_reply_is_not_returned_to_the_next_request(client):
    writers = []

    async def answer(reader, writer):
        writers.append(writer)
        is_first = len(writers) == 1
        await reader.readuntil(b'\r\n\r\n')
        if is_first:
            await asyncio.sleep(0.3)
        body = b'late!' if is_first else b'right'
        with contextlib.suppress(OSError):
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n')
            writer.write(body)
            await writer.drain()
            await reader.read()

    async with serve(answer) as address:
        with pytest.raises(message.ExchangeError):
            await fetch(client, address, 50)
        await asyncio.sleep(0.4)
        assert await fetch(client, address) == b'right'
        assert len(writers) == 2
        await client.close()


async def test_connection_is_reused_after_a_complete_reply(client):
    connections = []

    async def answer(reader, writer):
        connections.append(1)
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(REPLY)
        writer.close()

    async with serve(answer) as address:
        for _ in range(5):
            assert await fetch(client, address) == b'hello world'
        await client.close()
        assert len(connections) == 1


# After silence, only a connection that carried bytes just now is reused.
async def test_connection_that_was_idle_for_longer_than_allowed_is_not_used(
    client,
):
    served = []

    async def handler(reader, writer):
        served.append(writer)
        while await reader.readuntil(b'\r\n\r\n'):
            writer.write(REPLY)

    async def fetch_again(max_idle_ms):
        reply = await client.open(address, GET, 3000, max_idle_ms=max_idle_ms)
        await reply.read(1 << 20)

    with contextlib.suppress(asyncio.IncompleteReadError):
        async with serve(handler) as address:
            await fetch(client, address)
            (connection,) = client.pool.idle_by_address[address]
            connection.idle_since -= 1.0
            await fetch_again(900.0)
            assert len(served) == 2
            await fetch_again(900.0)
            assert len(served) == 2


# A connection may die without a reset while it is idle.
async def test_connections_are_probed_while_idle(client):
    async def handler(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(REPLY)

    async with serve(handler) as address:
        await fetch(client, address)
        (connection,) = client.pool.idle_by_address[address]
        opened = connection.writer.get_extra_info('socket')
        assert opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        unanswered_s = opened.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPIDLE
        ) + opened.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL
        ) * opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        # The users' rules count from 3.0 s after such a loss on.
        assert unanswered_s <= 3


async def test_connection_with_surplus_bytes_after_a_reply_is_closed(client):
    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(REPLY + REPLY)
        with contextlib.suppress(OSError):
            await reader.read()

    async with serve(answer) as address:
        assert await fetch(client, address) == b'hello world'
        assert not client.pool.idle_by_address.get(address)


async def test_address_of_a_terminating_process_is_refused_after_a_reset(
    client,
):
    listeners = []

    def reset_and_stop(reader, writer):
        listeners[0].close()
        writer.transport.abort()

    listener = await asyncio.start_server(reset_and_stop, '127.0.0.1', 0)
    listeners.append(listener)
    port = listener.sockets[0].getsockname()[1]
    assert await client.is_refused(f'127.0.0.1:{port}', 1000)


async def test_listening_address_that_resets_connections_is_not_refused():
    async with serve(lambda r, w: w.transport.abort()) as address:
        assert not await httpclient.HttpClient().is_refused(address, 1000)


async def test_address_that_keeps_a_connection_open_is_not_refused():
    async def keep_open(reader, writer):
        await reader.read()
        writer.close()

    async with serve(keep_open) as address:
        assert not await httpclient.HttpClient().is_refused(address, 1000)


def send_chunks(chunks, pause_s):
    """Return a handler that sends the chunks with pauses between them."""

    async def handle(reader, writer):
        while await reader.read(65_536):
            for chunk in chunks:
                writer.write(chunk)
                await asyncio.sleep(pause_s)

    return handle


async def test_stalled_body_times_out_after_the_stall_time(client):
    async with serve(send_chunks([REPLY[:-5]], 0)) as address:
        reply = await client.open(address, GET, 60_000, stall_ms=50)
        with pytest.raises(message.ExchangeError) as error_info:
            await reply.read(1 << 20)
        assert error_info.value.kind == 'timeout'
        assert not client.pool.idle_by_address.get(address)


async def test_steady_chunks_may_take_longer_in_total_than_the_stall_time(
    client,
):
    chunks = [REPLY[index : index + 8] for index in range(0, len(REPLY), 8)]
    async with serve(send_chunks(chunks, 0.03)) as address:
        reply = await client.open(address, GET, 60_000, stall_ms=200)
        assert await reply.read(1 << 20) == b'hello world'


async def test_slow_reader_does_not_cause_a_stall_timeout(client):
    async with serve(send_chunks([REPLY], 0)) as address:
        reply = await client.open(address, GET, 60_000, stall_ms=50)
        await asyncio.sleep(0.2)
        assert await reply.read(1 << 20) == b'hello world'


async def test_reused_connection_applies_the_timeout_of_its_next_request(
    client,
):
    is_silent = asyncio.Event()

    async def handle(reader, writer):
        while await reader.read(65_536):
            if is_silent.is_set():
                continue
            writer.write(REPLY)

    async with serve(handle) as address:
        assert await fetch(client, address, 60_000) == b'hello world'
        assert client.pool.idle_by_address[address]
        is_silent.set()
        with pytest.raises(message.ExchangeError) as error_info:
            await fetch(client, address, 100)
        assert error_info.value.kind == 'timeout'


async def test_request_with_an_invalid_header_sends_no_bytes(client):
    async with serve(lambda r, w: None) as address:
        request = message.Request('GET', '/', (('x', 'a\nb'),))
        with pytest.raises(message.ExchangeError) as error_info:
            await client.open(address, request, 3000)
        assert error_info.value.bytes_written == 0


async def test_bytes_received_at_the_deadline_cause_no_timeout(client):
    loop = asyncio.get_running_loop()
    with socket.create_server(('127.0.0.1', 0)) as listener:
        listener.setblocking(False)
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        opening = asyncio.create_task(
            client.open(address, GET, 60_000, stall_ms=100)
        )
        server_socket, _ = await loop.sock_accept(listener)
        cut = REPLY.index(b'6\r\n')
        server_socket.sendall(REPLY[:cut])
        reply = await opening
        assert await anext(reply.chunks) == b'hello'
        reading = asyncio.create_task(anext(reply.chunks))
        await asyncio.sleep(0)
        server_socket.sendall(REPLY[cut:-5])
        # The loop handles the bytes and the deadline in one iteration.
        time.sleep(0.2)  # noqa: ASYNC251
        assert await reading == b' world'
        server_socket.sendall(REPLY[-5:])
        assert [chunk async for chunk in reply.chunks] == []
        server_socket.close()


# Such a request got no connection back, and its caller 500.
@pytest.mark.parametrize(
    ('value', 'sent'),
    [
        ('peças'.encode().decode('latin-1'), 'peças'.encode()),
        ('\u6f22', '\u6f22'.encode()),
    ],
)
async def test_request_header_that_is_not_ascii_is_sent(client, value, sent):
    received = []

    async def answer(reader, writer):
        received.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')

    async with serve(answer) as address:
        request = message.Request('GET', '/', (('x-name', value),))
        reply = await client.open(address, request, 3000)
        assert await reply.read(10) == b'ok'
    assert b'x-name: ' + sent + b'\r\n' in received[0]


async def test_request_goes_only_to_the_start_that_it_names(client):
    served = []

    async def answer(reader, writer):
        number = len(served)
        served.append(0)
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b'\r\n\r\n'):
                served[number] += 1
                writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')

    async with serve(answer) as address:
        replies = [await client.open(address, GET, 3000) for _ in range(2)]
        replies[0].connection.peer_started_at_ms = 7
        for reply in replies:
            await reply.read(10)
        assert served == [1, 1]
        # The connection that was used last leads to an unknown start.
        reply = await client.open(address, GET, 3000, started_at_ms=7)
        await reply.read(10)
        assert served == [2, 1]
        with pytest.raises(message.ExchangeError) as failure:
            await client.open(address, GET, 3000, started_at_ms=8)
        assert failure.value.kind == message.NOT_CONNECTED
        assert failure.value.bytes_written == 0
        assert served == [2, 1]
        await client.close()
