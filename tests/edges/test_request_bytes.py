"""Test the request reader with any bytes, split in any way."""

import asyncio

import h11
import hypothesis
from hypothesis import strategies
import pytest

from pomelopass.edges import callerload
from pomelopass.edges import callermemory
from pomelopass.edges import chunkjoiner
from pomelopass.edges import httpserver
from pomelopass.edges import workturns
from pomelopass import message
from pomelopass.reporting import problemdetails

MAX_BODY_BYTES = 40_000
MAX_BYTES = 50_000
LIMITS = httpserver.requestreader.Limits(2000, MAX_BODY_BYTES, 50, 50)
CHUNKED = b'POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'

chunks = strategies.builds(
    lambda data, extension: b'%x%b\r\n%b\r\n' % (len(data), extension, data),
    strategies.binary(min_size=1, max_size=40),
    strategies.sampled_from([b'', b';a', b';a=b', b' ', b'\t', b'; "\r"']),
)
broken_parts = strategies.sampled_from(
    [b'0\r\n\r\n', b'0\r\nx: y\r\n\r\n', b'5\r\nab', b'\r\n', b'zz\r\n', b'-1']
)
chunked_bodies = strategies.lists(
    strategies.one_of(chunks, chunks, chunks, broken_parts), max_size=30
).map(b''.join)
requests = strategies.one_of(
    strategies.binary(max_size=300),
    chunked_bodies.map(lambda body: CHUNKED + body),
    strategies.integers(0, 45_000).map(
        lambda size: (
            b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n' % size
            + b'x' * size
        )
    ),
    strategies.sampled_from(
        [
            b'GET / HTTP/1.1\r\nhost: a\r\n\r\n',
            b'GET / HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 3000,
            CHUNKED + b'8000\r\n' + b'x' * 40_000,
        ]
    ),
)


def split(data: bytes, cuts: list[float]) -> list[bytes]:
    """Return the data in parts that end at these places."""
    ends = sorted({round(cut * len(data)) for cut in cuts} | {len(data)})
    starts = [0, *ends]
    return [
        data[start:end]
        for start, end in zip(starts, ends, strict=False)
        if start < end
    ]


cut_lists = strategies.lists(strategies.floats(0, 1), max_size=12)


async def serve(parts: list[bytes]) -> tuple[bytes, callerload.CallerLoad]:
    """Return all responses to bytes that arrive in parts."""
    load = callerload.CallerLoad(
        callermemory.CallerMemory(MAX_BYTES), workturns.WorkTurns()
    )

    async def reply(request: message.Request) -> message.Reply:
        assert load.memory.total <= MAX_BYTES
        assert len(request.body) <= MAX_BODY_BYTES
        return message.Reply(200, (), b'ok')

    server = httpserver.HttpServer(
        reply, problemdetails.make_status_refusal, MAX_BODY_BYTES, 2, load
    )
    server.limits = LIMITS
    address, _ = await httpserver.start_server(server, '127.0.0.1:0')
    port = int(address.rpartition(':')[2])
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    received = b''
    try:
        async with asyncio.timeout(5):
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
            received = await reader.read()
    except ConnectionError:
        pass
    writer.close()
    await server.close()
    while server.connection_count:
        await asyncio.sleep(0.001)
    return received, load


# Any bytes end in a response, a refusal or a close; nothing stays counted.
@hypothesis.given(strategies.lists(requests, max_size=3), cut_lists)
def test_any_bytes_end_and_leave_nothing_counted(sent, cuts):
    received, load = asyncio.run(serve(split(b''.join(sent), cuts)))
    assert not received or received.startswith(b'HTTP/1.1 ')
    assert load.memory.total == 0
    assert not load.memory.shares
    assert not load.memory.waiting


def parse(parts: list[bytes], joins: bool) -> tuple[bytes, str, bytes]:
    """Return a body, how it ended, and what follows it."""
    state = h11.Connection(h11.SERVER)
    state.receive_data(CHUNKED)
    assert isinstance(state.next_event(), h11.Request)
    joiner = chunkjoiner.ChunkJoiner()
    body = b''
    try:
        for part in parts:
            data = joiner.join(part) if joins else part
            if data:
                state.receive_data(data)
            while True:
                event = state.next_event()
                if isinstance(event, h11.Data):
                    body += bytes(event.data)
                    continue
                break
            if isinstance(event, h11.EndOfMessage):
                rest = b''.join(parts[parts.index(part) + 1 :])
                return body, 'end', state.trailing_data[0] + rest
    except h11.RemoteProtocolError:
        return body, 'error', b''
    return body, 'open', b''


# A joiner that is laxer than the parser would let requests be smuggled.
@hypothesis.given(chunked_bodies, cut_lists)
def test_joined_chunks_mean_what_the_parser_reads(body, cuts):
    parts = split(body, cuts)
    joined_body, joined_end, _ = parse(parts, joins=True)
    expected_body, expected_end, _ = parse(parts, joins=False)
    assert joined_end == expected_end
    if expected_end != 'error':
        assert joined_body == expected_body


# The parser's cost grew with chunks: 16-byte chunks blocked the process.
def test_small_chunks_of_one_read_become_one():
    joiner = chunkjoiner.ChunkJoiner()
    joined = joiner.join(b'2\r\nab\r\n' * 1000)
    assert joined == b'7d0\r\n' + b'ab' * 1000 + b'\r\n'
    assert joiner.joined == 1000


# All connections had their work done before anything else ran.
async def test_one_turn_is_taken_in_each_iteration():
    turns = workturns.WorkTurns()
    taken = []

    async def work(number: int) -> None:
        await turns.take()
        taken.append(number)

    tasks = [asyncio.ensure_future(work(number)) for number in range(20)]
    steps = []
    while len(taken) < len(tasks):
        steps.append(len(taken))
        await asyncio.sleep(0)
    assert taken == list(range(20))
    assert (
        max(
            after - before
            for before, after in zip(steps, steps[1:], strict=False)
        )
        == 1
    )


# Two bytes that are no line end would be skipped, and a chunk begin early.
def test_chunk_without_its_line_end_is_refused():
    joiner = chunkjoiner.ChunkJoiner()
    with pytest.raises(h11.RemoteProtocolError):
        joiner.join(b'5\r\nabcdexx5\r\nabcde\r\n')
