"""Test that a caller gets the complete reply to its own request."""

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


def get_expected_text(prompt: str, max_tokens: int) -> str:
    """Return the text that an engine generates for a prompt."""
    body = {'prompt': prompt, 'max_tokens': max_tokens}
    return ''.join(enginetext.make_tokens(body, prompt))


async def check_completion(
    sim_cluster: cluster.Cluster, name: str, prompt: str
) -> None:
    """Request a completion; assert that a 200 has the expected text."""
    reply = await request_completion(sim_cluster, name, prompt, False)
    if reply.status == 200:
        text = json.loads(reply.body)['choices'][0]['text']
        assert text == get_expected_text(prompt, 24)


async def check_stream(
    sim_cluster: cluster.Cluster, name: str, prompt: str
) -> None:
    """Stream a completion; assert that one ending in DONE is complete."""
    reply = await request_completion(sim_cluster, name, prompt, True)
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
    assert get_text(data.decode()) == get_expected_text(prompt, 24)


async def request_completion(
    sim_cluster: cluster.Cluster, name: str, prompt: str, stream: bool
) -> message.Reply:
    """Request a completion from an instance."""
    body = {
        'model': 'matching',
        'prompt': prompt,
        'max_tokens': 24,
        'stream': stream,
    }
    return await sim_cluster.send_request(
        name, 'POST', '/v1/completions', body
    )


def get_text(data: str) -> str:
    """Return the text of all events; assert that their ids are equal."""
    events = data.removesuffix(DONE).split('\n\n')[:-1]
    chunks = [json.loads(event.removeprefix('data: ')) for event in events]
    assert len({chunk['id'] for chunk in chunks}) == 1
    return ''.join(chunk['choices'][0]['text'] for chunk in chunks)


@hypothesis.given(
    seed=st.integers(0, 1000),
    fault_plan=faults.make_faults(KINDS, 2000, 8),
    completion_requests=st.lists(
        st.tuples(st.integers(0, 3000), st.integers(0, 2), st.booleans()),
        min_size=1,
        max_size=20,
    ),
)
def test_replies_are_complete_and_match_their_requests(
    seed, fault_plan, completion_requests
):
    async def main() -> None:
        sim_cluster = await builders.start_cluster(seed)

        async def send(index: int, at_ms: int, member: int, stream: bool):
            await asyncio.sleep(at_ms / 1000)
            check = check_stream if stream else check_completion
            await check(sim_cluster, f'entry-{member}', f'prompt {index}')

        coroutines = [
            send(index, *request)
            for index, request in enumerate(completion_requests)
        ]
        coroutines += [
            faults.inject(sim_cluster, fault) for fault in fault_plan
        ]
        await asyncio.gather(*coroutines)

    virtualloop.run(main())


def test_stream_resumes_on_another_engine():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(engines=2)
        for engine in sim_cluster.engine_by_name.values():
            engine.app.faults['truncate'] = 1
            break
        for index in range(6):
            await check_stream(sim_cluster, 'entry-0', f'prompt {index}')

    virtualloop.run(main())


def test_stream_that_ends_early_is_continued_or_refused():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(engines=2)
        for engine in sim_cluster.engine_by_name.values():
            engine.app.faults['end_early'] = 2
        for index in range(8):
            await check_completion(sim_cluster, 'entry-0', f'whole {index}')
            await check_stream(sim_cluster, 'entry-0', f'stream {index}')

    virtualloop.run(main())


def test_service_reply_to_another_request_is_not_forwarded():
    async def main() -> None:
        sim_cluster = await builders.start_cluster()
        for service in sim_cluster.service_by_name.values():
            service.app.faults['mix_up'] = 1
        for index in range(4):
            target = f'/services/stock/stock?part={index}'
            reply = await sim_cluster.send_request('entry-0', 'GET', target)
            if reply.status == 200:
                handled_target = json.loads(reply.body)['asked']
                assert handled_target == f'/stock?part={index}'

    virtualloop.run(main())
