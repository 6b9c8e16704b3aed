"""Test streams that callers resume while several software versions serve."""

import asyncio
import dataclasses
import random

import pytest

from pomelopass import message
from tests.entry import test_software
from tests import entrybuilders

STREAMS = 16
PATH = '/chats/1'


@dataclasses.dataclass(slots=True)
class Stream:
    """A caller's stream over its requests, and the events that it got."""

    first_id: str
    reply: message.Reply | None = None
    texts: list[str] = dataclasses.field(default_factory=list)
    tries: int = 0

    def get_software(self):
        return {text.partition('@')[2] for text in self.texts}

    def get_numbers(self):
        return [
            int(text.partition('@')[0].rpartition('.')[2])
            for text in self.texts
        ]


async def request(cluster, name, stream):
    """Begin a stream, or resume it; return the status."""
    stream.tries += 1
    headers = [
        ('host', entrybuilders.HOST),
        ('attempt-id', f'{stream.first_id}-{stream.tries}'),
        ('deadline-ms', '20000'),
        ('model', entrybuilders.MODEL),
    ]
    if stream.texts:
        headers.append(('last-event-id', str(len(stream.texts))))
        headers.append(('resumes', stream.first_id))
    else:
        headers[1] = ('attempt-id', stream.first_id)
    call = message.Request('POST', PATH, tuple(headers), b'prompt')
    handler = cluster.entry_by_name[name].node.ingress.handle
    try:
        async with asyncio.timeout(3):
            stream.reply = await handler(call)
    except TimeoutError:
        return 0
    return stream.reply.status


async def read(stream, count):
    """Read events until a number of them has arrived or the end."""
    unread = ''
    try:
        async for chunk in stream.reply.chunks:
            *blocks, unread = (unread + chunk.decode()).split('\n\n')
            for block in blocks:
                lines = block.split('\n')
                stream.texts.extend(
                    line.removeprefix('data: ')
                    for line in lines
                    if line.startswith('data: ')
                )
            if len(stream.texts) >= count:
                break
    except (ConnectionResetError, message.ExchangeError):
        return


async def begin_all(cluster, prefix='s'):
    """Begin streams at all instances and read some events of each."""
    streams = [Stream(f'{prefix}{number}') for number in range(STREAMS)]
    for number, stream in enumerate(streams):
        cluster.pool.events_by_item[stream.first_id] = 24
        name = f'entry-{number % 3}'
        if await request(cluster, name, stream) == 200:
            await read(stream, 4)
    return [stream for stream in streams if stream.texts]


async def resume_all(cluster, streams, tries=1):
    """Resume the streams, each at another instance; return how many go on."""
    went_on = 0
    for number, stream in enumerate(
        random.Random(5).sample(streams, len(streams))
    ):
        for attempt in range(tries):
            name = f'entry-{(number + 1 + attempt) % 3}'
            if await request(cluster, name, stream) == 200:
                before = len(stream.texts)
                await read(stream, 24)
                went_on += len(stream.texts) > before
                break
    return went_on


def check_streams(streams):
    """Check that no stream is joined, has a gap or an event twice."""
    for stream in streams:
        assert len(stream.get_software()) == 1, stream.texts
        numbers = stream.get_numbers()
        assert numbers == list(range(1, len(numbers) + 1))


async def leave_all(streams):
    for stream in streams:
        if stream.reply is not None and stream.reply.chunks is not None:
            await stream.reply.chunks.aclose()


async def kill_all(cluster, pause_s=0.5):
    for name in list(cluster.entry_by_name):
        cluster.kill(name)
    await asyncio.sleep(pause_s)
    for number in range(3):
        cluster.start(f'entry-{number}')


def run(scenario, seed=1):
    async def start(cluster):
        for endpoint in cluster.pool.endpoint_by_id.values():
            # Callers that left count until the end of their streams.
            endpoint.slots = 40
        test_software.mix_software(cluster)
        await asyncio.sleep(4)
        await scenario(cluster)

    entrybuilders.run_cluster(
        start, seed, engines=4, software=test_software.OLD
    )


@pytest.mark.parametrize('seed', range(4))
def test_stream_broken_by_its_engine_goes_on_at_the_same_software(seed):
    async def scenario(cluster):
        for endpoint in cluster.pool.endpoint_by_id.values():
            endpoint.break_share = 0.4
        streams = await begin_all(cluster)
        for stream in streams:
            await read(stream, 24)
        check_streams(streams)
        complete = sum(len(stream.texts) == 24 for stream in streams)
        assert complete >= STREAMS / 2

    run(scenario, seed)


@pytest.mark.parametrize('seed', range(4))
def test_stream_resumed_at_another_instance_keeps_its_software(seed):
    async def scenario(cluster):
        streams = await begin_all(cluster)
        await leave_all(streams)
        went_on = await resume_all(cluster, streams)
        check_streams(streams)
        assert went_on >= 0.9 * len(streams)

    run(scenario, seed)


@pytest.mark.parametrize('seed', range(4))
def test_stream_resumed_after_a_kill_of_all_keeps_its_software(seed):
    async def scenario(cluster):
        streams = await begin_all(cluster)
        assert len(streams) == STREAMS
        await kill_all(cluster)
        await leave_all(streams)
        await asyncio.sleep(3)
        went_on = await resume_all(cluster, streams)
        check_streams(streams)
        assert went_on >= 0.9 * len(streams)

    run(scenario, seed)


def test_stream_is_not_joined_after_the_old_software_left():
    async def scenario(cluster):
        streams = await begin_all(cluster)
        await kill_all(cluster)
        await leave_all(streams)
        for name in ('engine-0', 'engine-2'):
            cluster.pool.crash(name)
        await asyncio.sleep(3)
        await resume_all(cluster, streams)
        check_streams(streams)
        new = [s for s in streams if s.get_software() == {'v1.1'}]
        complete = [s for s in new if len(s.texts) == 24]
        assert len(complete) >= 0.9 * len(new)

    run(scenario)


@pytest.mark.parametrize('how', ['down', 'lose', 'late', 'silent'])
def test_streams_begun_while_the_table_fails_are_not_joined(how):
    async def scenario(cluster):
        for entry in cluster.entry_by_name.values():
            faults = entry.client.faults
            faults.down = how == 'down'
            faults.silent = how == 'silent'
            faults.lose_answers = 0.4 if how == 'lose' else 0.0
            faults.late_writes = 0.4 if how == 'late' else 0.0
        streams = [
            *await begin_all(cluster),
            *await begin_all(cluster, 't'),
        ]
        # New streams are served all the same.
        assert len(streams) >= 0.7 * 2 * STREAMS
        await kill_all(cluster)
        await leave_all(streams)
        await asyncio.sleep(8)
        went_on = await resume_all(cluster, streams)
        check_streams(streams)
        assert went_on >= 0.5 * len(streams)

    run(scenario)


@pytest.mark.parametrize('how', ['down', 'silent'])
def test_streams_are_recorded_once_the_table_answers_again(how):
    async def scenario(cluster):
        # Nothing of the base is left, so every stream needs a row.
        everything_new = {f'engine-{number}': 'v1.1' for number in range(4)}
        test_software.set_software(cluster, everything_new)
        await asyncio.sleep(1)
        for entry in cluster.entry_by_name.values():
            setattr(entry.client.faults, how, True)
        streams = await begin_all(cluster)
        assert len(streams) == STREAMS
        for entry in cluster.entry_by_name.values():
            setattr(entry.client.faults, how, False)
        await asyncio.sleep(5)
        await kill_all(cluster)
        await leave_all(streams)
        await asyncio.sleep(3)
        went_on = await resume_all(cluster, streams)
        check_streams(streams)
        assert went_on >= 0.9 * len(streams)

    run(scenario)


def test_stream_of_an_unknown_beginning_is_refused_at_once():
    async def scenario(cluster):
        stream = Stream('s0', texts=['x.1@v1', 'x.2@v1'])
        for entry in cluster.entry_by_name.values():
            entry.client.faults.down = True
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        assert await request(cluster, 'entry-0', stream) == 503
        assert loop.time() - started_at < 0.3

    run(scenario)


def test_stream_begun_before_a_release_goes_on_at_the_old_software():
    async def scenario(cluster):
        everything_old = {f'engine-{number}': 'v1' for number in range(4)}
        test_software.set_software(cluster, everything_old)
        await asyncio.sleep(1)
        streams = await begin_all(cluster)
        assert {s for x in streams for s in x.get_software()} == {'v1'}
        await leave_all(streams)
        test_software.mix_software(cluster)
        await asyncio.sleep(1)
        await kill_all(cluster)
        await asyncio.sleep(3)
        went_on = await resume_all(cluster, streams)
        check_streams(streams)
        assert went_on >= 0.9 * len(streams)

    run(scenario)
