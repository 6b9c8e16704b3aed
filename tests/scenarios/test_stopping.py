"""Prove that a planned stop cuts nothing and hands duties over."""

import asyncio
import json

import hypothesis
from hypothesis import strategies as st

from pomelopass.core import stopping
from pomelopass.running import instance
from standins import virtualloop
from tests import builders
from tests.scenarios import test_answers

TAKE_OVER_S = 10.0


@hypothesis.given(
    seed=st.integers(0, 1000),
    asks=st.lists(
        st.tuples(st.integers(0, 2500), st.booleans()),
        min_size=1,
        max_size=20,
    ),
    both=st.booleans(),
)
def test_stop_cuts_no_request(seed, asks, both):
    async def main() -> None:
        built = await builders.start_cluster(seed, token_ms=120.0)
        first = built.member_by_name['entry-0'].context
        stops = [asyncio.ensure_future(stop_and_check(first))]
        if both:
            second = built.member_by_name['entry-1'].context
            stops.append(asyncio.ensure_future(stop_and_check(second)))

        async def one(index: int, at_ms: int, stream: bool) -> None:
            # Callers keep the address for its time to live.
            await asyncio.sleep(at_ms / 1000)
            prompt = f'prompt {index}'
            if stream:
                await test_answers.ask_stream(built, 'entry-0', prompt)
                return
            reply = await test_answers.ask(built, 'entry-0', prompt, False)
            assert reply.status == 200, reply.body

        await asyncio.gather(
            *(one(index, *each) for index, each in enumerate(asks))
        )
        async with asyncio.timeout(30):
            await asyncio.gather(*stops)
        assert first.stopping.phase == stopping.Phase.STOPPED

    virtualloop.run(main())


async def stop_and_check(context) -> None:
    """Stop an instance and assert that nothing was in flight."""
    await instance.stop(context)
    assert context.work_in_flight == 0


def test_stopping_instance_is_no_longer_listed():
    async def main() -> None:
        built = await builders.start_cluster()
        context = built.member_by_name['entry-0'].context
        stop = asyncio.ensure_future(instance.stop(context))
        await asyncio.sleep(1)
        for name in ('entry-0', 'entry-1', 'entry-2'):
            reply = await built.send_request(name, 'GET', '/entries')
            entries = json.loads(reply.body)['entries']
            assert 'entry-0:1' not in [one['address'] for one in entries]
        await stop

    virtualloop.run(main())


def test_duties_of_a_killed_holder_are_taken_over():
    async def main() -> None:
        built = await builders.start_cluster()
        holder = find_holder(built)
        holder.kill()
        del built.member_by_name[holder.context.settings.id]
        await asyncio.sleep(TAKE_OVER_S)
        assert find_holder(built) is not None

    virtualloop.run(main())


def test_duties_of_a_stopping_holder_move_at_once():
    async def main() -> None:
        built = await builders.start_cluster()
        holder = find_holder(built)
        stop = asyncio.ensure_future(instance.stop(holder.context))
        await asyncio.sleep(4)
        others = [
            one
            for one in built.member_by_name.values()
            if one is not holder and one.context.duties.task_by_name
        ]
        assert others
        await stop

    virtualloop.run(main())


def find_holder(built):
    """Return an instance that holds a duty, or None."""
    for member in built.member_by_name.values():
        if member.context.duties.task_by_name:
            return member
    return None
