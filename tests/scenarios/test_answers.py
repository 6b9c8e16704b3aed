"""Prove that a caller gets the whole answer to its own request."""

import asyncio
import json

import hypothesis
from hypothesis import strategies as st

from pomelopass import message
from standins import cluster
from standins import enginetext
from standins import virtualloop
from tests import builders
from tests.scenarios import faults

KINDS = (
    *('engine-slow', 'engine-truncates', 'engine-mixes-up'),
    'engine-ends-early',
    *('engine-refuses', 'table-down', 'freeze', 'cut'),
)
DONE = 'data: [DONE]\n\n'


def get_expected(prompt: str, max_tokens: int) -> str:
    """Return the text that an engine gives for a prompt."""
    body = {'prompt': prompt, 'max_tokens': max_tokens}
    return ''.join(enginetext.make_tokens(body, prompt))


async def ask_whole(built: cluster.Cluster, name: str, prompt: str) -> None:
    """Ask for a completion; a 200 must be whole and the caller's own."""
    reply = await ask(built, name, prompt, False)
    if reply.status == 200:
        text = json.loads(reply.body)['choices'][0]['text']
        assert text == get_expected(prompt, 24)


async def ask_stream(built: cluster.Cluster, name: str, prompt: str) -> None:
    """Stream a completion; one that ends as done must be whole."""
    reply = await ask(built, name, prompt, True)
    if reply.chunks is None:
        assert reply.status != 200
        return
    data = b''
    try:
        async for chunk in reply.chunks:
            data += chunk
    except OSError:
        assert DONE.encode() not in data
        return
    assert data.decode().endswith(DONE)
    assert get_text(data.decode()) == get_expected(prompt, 24)


async def ask(
    built: cluster.Cluster, name: str, prompt: str, stream: bool
) -> message.Reply:
    """Ask for a completion."""
    body = {
        'model': 'matching',
        'prompt': prompt,
        'max_tokens': 24,
        'stream': stream,
    }
    return await built.send_request(name, 'POST', '/v1/completions', body)


def get_text(data: str) -> str:
    """Return the text of all events; all must carry the same id."""
    events = data.removesuffix(DONE).split('\n\n')[:-1]
    values = [json.loads(one.removeprefix('data: ')) for one in events]
    assert len({one['id'] for one in values}) == 1
    return ''.join(one['choices'][0]['text'] for one in values)


@hypothesis.given(
    seed=st.integers(0, 1000),
    plan=faults.make_faults(KINDS, 2000, 8),
    asks=st.lists(
        st.tuples(st.integers(0, 3000), st.integers(0, 2), st.booleans()),
        min_size=1,
        max_size=20,
    ),
)
def test_answers_are_whole_and_own(seed, plan, asks):
    async def main() -> None:
        built = await builders.start_cluster(seed)

        async def one(index: int, at_ms: int, member: int, stream: bool):
            await asyncio.sleep(at_ms / 1000)
            run = ask_stream if stream else ask_whole
            await run(built, f'entry-{member}', f'prompt {index}')

        jobs = [one(index, *each) for index, each in enumerate(asks)]
        jobs += [faults.inject(built, each) for each in plan]
        await asyncio.gather(*jobs)

    virtualloop.run(main())


def test_stream_goes_on_at_another_engine():
    async def main() -> None:
        built = await builders.start_cluster(engines=2)
        for one in built.engine_by_name.values():
            one.app.faults['truncate'] = 1
            break
        for index in range(6):
            await ask_stream(built, 'entry-0', f'prompt {index}')

    virtualloop.run(main())


def test_stream_that_ends_early_is_continued_or_refused():
    async def main() -> None:
        built = await builders.start_cluster(engines=2)
        for one in built.engine_by_name.values():
            one.app.faults['end_early'] = 2
        for index in range(8):
            await ask_whole(built, 'entry-0', f'whole {index}')
            await ask_stream(built, 'entry-0', f'stream {index}')

    virtualloop.run(main())


def test_mixed_up_answer_of_a_service_is_not_passed_on():
    async def main() -> None:
        built = await builders.start_cluster()
        for one in built.service_by_name.values():
            one.app.faults['mix_up'] = 1
        for index in range(4):
            target = f'/services/stock/stock?part={index}'
            reply = await built.send_request('entry-0', 'GET', target)
            if reply.status == 200:
                asked = json.loads(reply.body)['asked']
                assert asked == f'/stock?part={index}'

    virtualloop.run(main())
