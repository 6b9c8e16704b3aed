"""Test weight versions on whole entry instances under faults."""

import asyncio

import pytest

from standins import virtualloop
from tests import entrybuilders

MODEL = entrybuilders.MODEL


def get_orders(cluster):
    return {
        endpoint_id: one.accepted_orders
        for endpoint_id, one in cluster.pool.endpoint_by_id.items()
        if one.version_by_model
    }


def get_versions(cluster):
    return {
        one.version_by_model[MODEL]
        for one in cluster.pool.endpoint_by_id.values()
        if one.version_by_model and one.alive
    }


def test_each_engine_loads_a_named_version_once():
    async def scenario(cluster):
        for version in range(2, 6):
            cluster.set_target_version(MODEL, version)
            await asyncio.sleep(4)
            assert get_versions(cluster) == {version}
        for some in get_orders(cluster).values():
            assert [one.version for one in some] == [2, 3, 4, 5]

    entrybuilders.run_cluster(scenario, engines=4)


@pytest.mark.parametrize('seed', range(6))
def test_fences_never_go_back_when_the_leader_dies(seed):
    async def scenario(cluster):
        cluster.set_target_version(MODEL, 2)
        await asyncio.sleep(0.3 + 0.2 * seed)
        leaders = {
            one.accepted_orders[-1].holder
            for one in cluster.pool.endpoint_by_id.values()
            if one.accepted_orders
        }
        for holder in leaders:
            cluster.kill(holder.rpartition('-')[0])
        cluster.set_target_version(MODEL, 3)
        await asyncio.sleep(8)
        assert get_versions(cluster) == {3}
        for some in get_orders(cluster).values():
            fences = [one.fence for one in some]
            assert fences == sorted(fences)
            holder_by_fence = {}
            for one in some:
                holder = holder_by_fence.setdefault(one.fence, one.holder)
                assert holder == one.holder

    entrybuilders.run_cluster(scenario, seed, instances=4, engines=5)


def test_two_models_on_one_engine_have_one_holder():
    async def scenario():
        cluster = entrybuilders.make_cluster(instances=4)
        for one in cluster.pool.endpoint_by_id.values():
            if one.version_by_model:
                one.version_by_model['drafter'] = 1
                cluster.pool.register(one)
        await asyncio.sleep(2)
        for version in range(2, 5):
            cluster.set_target_version(MODEL, version)
            cluster.set_target_version('drafter', version)
            await asyncio.sleep(6)
        holders = {
            (one.holder, one.fence)
            for some in get_orders(cluster).values()
            for one in some
        }
        assert len(holders) == 1
        await cluster.stop()

    virtualloop.run(scenario())


def test_job_waits_for_the_oldest_version_that_it_allows():
    async def scenario(cluster):
        submission = entrybuilders.make_submission(min_version=2)
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(1)
        cluster.set_target_version(MODEL, 2)
        results = await cluster.read_all('job-1', 10)
        assert len(results) == len(submission.items)
        assert {version for one in results for version in one.versions} == {2}

    entrybuilders.run_cluster(scenario)


def test_engines_keep_weights_that_the_next_step_may_use_while_busy():
    async def scenario(cluster):
        # Long texts keep every engine busy while a version is named.
        submission = entrybuilders.make_submission(groups=4, step=2)
        for item in submission.items:
            cluster.pool.events_by_item[item.id] = 300
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(0.5)
        cluster.set_target_version(MODEL, 2)
        await asyncio.sleep(4)
        held = [
            one.version_by_model[MODEL]
            for one in cluster.pool.endpoint_by_id.values()
            if one.version_by_model
        ]
        assert sorted(held) == [1, 1, 2, 2]

    entrybuilders.run_cluster(scenario, engines=4)
