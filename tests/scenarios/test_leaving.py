"""Test that a leaving endpoint gets no new work after a limit."""

import asyncio
import itertools

import hypothesis
from hypothesis import strategies as st

from standins import cluster
from standins import virtualloop
from tests import builders
from tests.scenarios import faults

LEAVING_LIMIT_MS = 3000
KINDS = ('list-down', 'table-down', 'table-slow', 'freeze', 'objects-down')


async def send_requests(sim_cluster: cluster.Cluster, name: str) -> None:
    """Send completion requests to an instance until cancelled."""
    for number in itertools.count():
        prompt = f'{name} {number}'
        await sim_cluster.send_request(
            name,
            'POST',
            '/v1/completions',
            {'model': 'matching', 'prompt': prompt, 'max_tokens': 8},
        )
        await asyncio.sleep(0.1)


def get_last_start_ms(sim_cluster: cluster.Cluster, name: str) -> float:
    """Return the start time of the latest request on the engine."""
    starts_ms = sim_cluster.engine_by_name[name].started_ms_by_request.values()
    return max(starts_ms, default=0.0)


@hypothesis.given(
    seed=st.integers(0, 1000),
    list_is_down=st.booleans(),
    fault_plan=faults.make_faults(KINDS, 1000, 3),
)
def test_leaving_endpoint_gets_no_new_work_after_the_limit(
    seed, list_is_down, fault_plan
):
    async def main() -> None:
        sim_cluster = await builders.start_cluster(seed)
        tasks = [
            asyncio.ensure_future(send_requests(sim_cluster, name))
            for name in sim_cluster.member_by_name
        ]
        tasks += [
            asyncio.ensure_future(faults.inject(sim_cluster, fault))
            for fault in fault_plan
        ]
        await asyncio.sleep(1.5)
        assert get_last_start_ms(sim_cluster, 'engine-0') > 0
        if list_is_down:
            sim_cluster.listing.app.faults['down'] = 1
            sim_cluster.engine_by_name['engine-0'].app.faults['leaving'] = 1
        else:
            sim_cluster.list_endpoint(
                'engine-0', 'engines', 'north', '1', True
            )
            faults.clear_faults(sim_cluster)
        announced_ms = asyncio.get_running_loop().time() * 1000
        await asyncio.sleep(8)
        last_ms = get_last_start_ms(sim_cluster, 'engine-0')
        frozen_ms = max(
            (
                fault.duration_ms
                for fault in fault_plan
                if fault.kind == 'freeze'
            ),
            default=0,
        )
        # A frozen instance is notified only when it resumes.
        assert last_ms <= announced_ms + LEAVING_LIMIT_MS + frozen_ms
        for task in tasks:
            task.cancel()

    virtualloop.run(main())


def test_instance_cut_off_from_the_platform_is_notified_by_peers():
    async def main() -> None:
        sim_cluster = await builders.start_cluster()
        for address in ('listing:1', 'table:1', 'engine-0:1'):
            sim_cluster.network.cut.add(('entry-2', address))
        sim_cluster.list_endpoint('engine-0', 'engines', 'north', '1', True)
        await asyncio.sleep(LEAVING_LIMIT_MS / 1000)
        context = sim_cluster.member_by_name['entry-2'].context
        assert 'engine-0@1' in context.membership.leaving_since_ms_by_key

    virtualloop.run(main())


def test_new_incarnation_of_a_leaving_endpoint_gets_work():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(engines=1)
        sim_cluster.list_endpoint('engine-0', 'engines', 'north', '1', True)
        await asyncio.sleep(2)
        sim_cluster.engine_by_name['engine-0'].incarnation = '2'
        sim_cluster.list_endpoint('engine-0', 'engines', 'north', '2')
        await asyncio.sleep(2)
        reply = await sim_cluster.send_request(
            'entry-0',
            'POST',
            '/v1/completions',
            {'model': 'matching', 'prompt': 'x', 'max_tokens': 8},
        )
        assert reply.status == 200

    virtualloop.run(main())
