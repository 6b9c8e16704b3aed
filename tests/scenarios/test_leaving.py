"""Prove that a leaving endpoint soon gets no new work."""

import asyncio
import itertools

import hypothesis
from hypothesis import strategies as st

from standins import cluster
from standins import virtualloop
from tests import builders
from tests.scenarios import faults

LIMIT_MS = 3000
KINDS = ('list-down', 'table-down', 'table-slow', 'freeze', 'objects-down')


async def load(built: cluster.Cluster, name: str) -> None:
    """Send completions through an instance without end."""
    for number in itertools.count():
        prompt = f'{name} {number}'
        await built.send_request(
            name,
            'POST',
            '/v1/completions',
            {'model': 'matching', 'prompt': prompt, 'max_tokens': 8},
        )
        await asyncio.sleep(0.1)


def get_last_start_ms(built: cluster.Cluster, name: str) -> float:
    """Return when the engine last began a request, by its own books."""
    started = built.engine_by_name[name].started_ms_by_request.values()
    return max(started, default=0.0)


@hypothesis.given(
    seed=st.integers(0, 1000),
    list_is_down=st.booleans(),
    plan=faults.make_faults(KINDS, 1000, 3),
)
def test_no_new_work_after_limit(seed, list_is_down, plan):
    async def main() -> None:
        built = await builders.start_cluster(seed)
        tasks = [
            asyncio.ensure_future(load(built, name))
            for name in built.member_by_name
        ]
        tasks += [
            asyncio.ensure_future(faults.inject(built, one)) for one in plan
        ]
        await asyncio.sleep(1.5)
        assert get_last_start_ms(built, 'engine-0') > 0
        if list_is_down:
            built.listing.app.faults['down'] = 1
            built.engine_by_name['engine-0'].app.faults['leaving'] = 1
        else:
            built.list_endpoint('engine-0', 'engines', 'north', '1', True)
            faults.mend(built)
        known_ms = asyncio.get_running_loop().time() * 1000
        await asyncio.sleep(8)
        last_ms = get_last_start_ms(built, 'engine-0')
        frozen_ms = max(
            (one.duration_ms for one in plan if one.kind == 'freeze'),
            default=0,
        )
        # A frozen instance can know only after it goes on.
        assert last_ms <= known_ms + LIMIT_MS + frozen_ms
        for task in tasks:
            task.cancel()

    virtualloop.run(main())


def test_instance_cut_off_from_the_platform_learns_from_peers():
    async def main() -> None:
        built = await builders.start_cluster()
        for address in ('listing:1', 'table:1', 'engine-0:1'):
            built.network.cut.add(('entry-2', address))
        built.list_endpoint('engine-0', 'engines', 'north', '1', True)
        await asyncio.sleep(LIMIT_MS / 1000)
        context = built.member_by_name['entry-2'].context
        assert 'engine-0@1' in context.membership.leaving_since_ms_by_key

    virtualloop.run(main())


def test_new_incarnation_gets_work_again():
    async def main() -> None:
        built = await builders.start_cluster(engines=1)
        built.list_endpoint('engine-0', 'engines', 'north', '1', True)
        await asyncio.sleep(2)
        built.engine_by_name['engine-0'].incarnation = '2'
        built.list_endpoint('engine-0', 'engines', 'north', '2')
        await asyncio.sleep(2)
        reply = await built.send_request(
            'entry-0',
            'POST',
            '/v1/completions',
            {'model': 'matching', 'prompt': 'x', 'max_tokens': 8},
        )
        assert reply.status == 200

    virtualloop.run(main())
