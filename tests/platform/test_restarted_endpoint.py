"""Test that a text resumes only at the start of an endpoint that it names."""

import asyncio
import contextlib
import dataclasses

import orjson
import pytest

from pomelopass.edges import httpclient
from pomelopass.platform import endpointclient
from pomelopass.registry import endpoint as endpoints
from pomelopass.requests import call as calls

CALL = calls.Call('id-1', 'h', 'POST', '/run', (), b'x', None)
RESUMED = dataclasses.replace(CALL, last_event_id='3')


class Engine:
    """Engine that answers over connections, and what it received."""

    def __init__(self, born):
        self.born = born
        self.connections = 0
        self.writers = []
        # Pairs of the connection's number and the path.
        self.received = []
        # How it ends connections on which it reported, if it does.
        self.end_of_report = None

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        number = self.connections
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                path = head.split(b' ')[1].decode()
                if b'content-length: 1' in head.lower():
                    await reader.readexactly(1)
                self.received.append((number, path))
                ends = path == '/-/report' and self.end_of_report is not None
                body = b'{}'
                if path == '/-/report':
                    body = orjson.dumps({'born': self.born})
                writer.write(
                    b'HTTP/1.1 200 OK\r\nattempt-id: id-1\r\n'
                    + (self.end_of_report if ends else b'')
                    + b'content-length: %d\r\n\r\n' % len(body)
                    + body
                )
                if ends:
                    break
        writer.close()


@contextlib.asynccontextmanager
async def run_engine(born, entry_born=7):
    """Yield a client, an engine and the entry that is known of it."""
    engine = Engine(born)
    listener = await asyncio.start_server(engine.serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    target = endpoints.Endpoint(
        *('e0', 'engines', f'127.0.0.1:{port}', 'north', 8, False, {}),
        entry_born,
    )
    client = endpointclient.EndpointClient(httpclient.HttpClient())
    try:
        yield client, engine, target
    finally:
        await client.http.close()
        listener.close()
        for writer in engine.writers:
            writer.transport.abort()
        await asyncio.sleep(0)


async def send(client, target, call):
    answer = await client.open(target, call, 1000)
    await answer.reply.read(100)


# It was taken for the engine that had written the first part.
async def test_engine_that_started_again_resumes_no_text():
    async with run_engine(born=8) as (client, engine, target):
        # An idle connection to the new start is known already.
        await send(client, target, CALL)
        with pytest.raises(calls.CallFailedError) as failure:
            await send(client, target, RESUMED)
        assert failure.value.kind == calls.RESTARTED
        assert not failure.value.may_have_run
        paths = [path for _, path in engine.received]
        assert paths == ['/run', '/-/report']


async def test_text_resumes_on_the_connection_whose_start_was_asked():
    async with run_engine(born=7) as (client, engine, target):
        await send(client, target, CALL)
        await send(client, target, RESUMED)
        assert engine.received == [(1, '/run'), (2, '/-/report'), (2, '/run')]


# Another connection may lead to a later start.
async def test_text_resumes_on_no_other_connection():
    async with run_engine(born=7) as (client, engine, target):
        engine.end_of_report = b''
        await send(client, target, CALL)
        # A reply and the end of its connection come together or apart.
        for _ in range(5):
            with contextlib.suppress(calls.CallFailedError):
                await send(client, target, RESUMED)
        runs = [number for number, path in engine.received if path == '/run']
        assert runs == [1]


async def test_engine_that_keeps_no_connections_resumes_after_its_answer():
    async with run_engine(born=7) as (client, engine, target):
        engine.end_of_report = b'connection: close\r\n'
        await send(client, target, RESUMED)
        assert engine.received == [(1, '/-/report'), (2, '/run')]


async def test_engine_that_names_no_start_resumes_as_before():
    async with run_engine(born=0) as (client, engine, target):
        await send(client, target, RESUMED)
        assert [path for _, path in engine.received] == ['/-/report', '/run']
