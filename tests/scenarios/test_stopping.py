"""Test that a planned stop completes all requests and moves duties."""

import asyncio
import json

import hypothesis
from hypothesis import strategies as st

from pomelopass.core import stopping
from pomelopass.running import instance
from standins import virtualloop
from tests import builders
from tests.scenarios import test_answers

TAKEOVER_LIMIT_S = 10.0


@hypothesis.given(
    seed=st.integers(0, 1000),
    completion_requests=st.lists(
        st.tuples(st.integers(0, 2500), st.booleans()),
        min_size=1,
        max_size=20,
    ),
    stop_two=st.booleans(),
)
def test_stop_interrupts_no_request(seed, completion_requests, stop_two):
    async def main() -> None:
        sim_cluster = await builders.start_cluster(seed, token_ms=120.0)
        first = sim_cluster.member_by_name['entry-0'].context
        stops = [asyncio.ensure_future(stop_and_check(first))]
        if stop_two:
            second = sim_cluster.member_by_name['entry-1'].context
            stops.append(asyncio.ensure_future(stop_and_check(second)))

        async def send(index: int, at_ms: int, stream: bool) -> None:
            # Callers use the address until its time to live expires.
            await asyncio.sleep(at_ms / 1000)
            prompt = f'prompt {index}'
            if stream:
                await test_answers.check_stream(sim_cluster, 'entry-0', prompt)
                return
            reply = await test_answers.request_completion(
                sim_cluster, 'entry-0', prompt, False
            )
            assert reply.status == 200, reply.body

        await asyncio.gather(
            *(
                send(index, *request)
                for index, request in enumerate(completion_requests)
            )
        )
        async with asyncio.timeout(30):
            await asyncio.gather(*stops)
        assert first.stopping.phase == stopping.Phase.STOPPED

    virtualloop.run(main())


async def stop_and_check(context) -> None:
    """Stop an instance and assert that no work is left in flight."""
    await instance.stop(context)
    assert context.work_in_flight == 0


def test_stopping_instance_is_no_longer_listed():
    async def main() -> None:
        sim_cluster = await builders.start_cluster()
        context = sim_cluster.member_by_name['entry-0'].context
        stop = asyncio.ensure_future(instance.stop(context))
        await asyncio.sleep(1)
        for name in ('entry-0', 'entry-1', 'entry-2'):
            reply = await sim_cluster.send_request(name, 'GET', '/entries')
            entries = json.loads(reply.body)['entries']
            assert 'entry-0:1' not in [entry['address'] for entry in entries]
        await stop

    virtualloop.run(main())


def test_duties_of_a_killed_holder_are_taken_over():
    async def main() -> None:
        sim_cluster = await builders.start_cluster()
        holder = find_holder(sim_cluster)
        holder.kill()
        del sim_cluster.member_by_name[holder.context.settings.id]
        await asyncio.sleep(TAKEOVER_LIMIT_S)
        assert find_holder(sim_cluster) is not None

    virtualloop.run(main())


def test_duties_of_a_stopping_holder_move_immediately():
    async def main() -> None:
        sim_cluster = await builders.start_cluster()
        holder = find_holder(sim_cluster)
        stop = asyncio.ensure_future(instance.stop(holder.context))
        await asyncio.sleep(4)
        other_holders = [
            member
            for member in sim_cluster.member_by_name.values()
            if member is not holder and member.context.duties.task_by_name
        ]
        assert other_holders
        await stop

    virtualloop.run(main())


def find_holder(sim_cluster):
    """Return an instance that holds a duty, or None."""
    for member in sim_cluster.member_by_name.values():
        if member.context.duties.task_by_name:
            return member
    return None
