"""Test the rollout of weight versions on entry instances under faults."""

import asyncio

import pytest

from standins import virtualloop
from tests import entrybuilders

MODEL = entrybuilders.MODEL


def get_orders_by_endpoint(cluster):
    return {
        endpoint_id: endpoint.accepted_orders
        for endpoint_id, endpoint in cluster.pool.endpoint_by_id.items()
        if endpoint.version_by_model
    }


def get_loaded_versions(cluster):
    return {
        endpoint.version_by_model[MODEL]
        for endpoint in cluster.pool.endpoint_by_id.values()
        if endpoint.version_by_model and endpoint.alive
    }


def test_each_engine_loads_each_published_version_once():
    async def scenario(cluster):
        for version in range(2, 6):
            cluster.set_target_version(MODEL, version)
            await asyncio.sleep(4)
            assert get_loaded_versions(cluster) == {version}
        for accepted_orders in get_orders_by_endpoint(cluster).values():
            assert [order.version for order in accepted_orders] == [2, 3, 4, 5]

    entrybuilders.run_cluster(scenario, engines=4)


@pytest.mark.parametrize('seed', range(6))
def test_fences_never_go_back_when_the_leader_dies(seed):
    async def scenario(cluster):
        cluster.set_target_version(MODEL, 2)
        await asyncio.sleep(0.3 + 0.2 * seed)
        leaders = {
            endpoint.accepted_orders[-1].holder
            for endpoint in cluster.pool.endpoint_by_id.values()
            if endpoint.accepted_orders
        }
        for holder in leaders:
            cluster.kill(holder.rpartition('-')[0])
        cluster.set_target_version(MODEL, 3)
        await asyncio.sleep(8)
        assert get_loaded_versions(cluster) == {3}
        for accepted_orders in get_orders_by_endpoint(cluster).values():
            fences = [order.fence for order in accepted_orders]
            assert fences == sorted(fences)
            holder_by_fence = {}
            for order in accepted_orders:
                holder = holder_by_fence.setdefault(order.fence, order.holder)
                assert holder == order.holder

    entrybuilders.run_cluster(scenario, seed, instances=4, engines=5)


def test_two_models_on_one_engine_have_one_holder():
    async def scenario():
        cluster = entrybuilders.make_cluster(instances=4)
        for endpoint in cluster.pool.endpoint_by_id.values():
            if endpoint.version_by_model:
                endpoint.version_by_model['drafter'] = 1
                cluster.pool.register(endpoint)
        await asyncio.sleep(2)
        for version in range(2, 5):
            cluster.set_target_version(MODEL, version)
            cluster.set_target_version('drafter', version)
            await asyncio.sleep(6)
        holders = {
            (order.holder, order.fence)
            for accepted_orders in get_orders_by_endpoint(cluster).values()
            for order in accepted_orders
        }
        assert len(holders) == 1
        await cluster.stop()

    virtualloop.run(scenario())


def test_job_waits_for_its_minimum_version():
    async def scenario(cluster):
        submission = entrybuilders.make_submission(min_version=2)
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(1)
        cluster.set_target_version(MODEL, 2)
        results = await cluster.read_all('job-1', 10)
        assert len(results) == len(submission.items)
        assert {
            version for result in results for version in result.versions
        } == {2}

    entrybuilders.run_cluster(scenario)


def test_busy_engines_keep_weights_that_the_next_step_may_use():
    async def scenario(cluster):
        # Long texts keep every engine busy while a version is published.
        submission = entrybuilders.make_submission(groups=4, step=2)
        for item in submission.items:
            cluster.pool.events_by_item[item.id] = 300
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(0.5)
        cluster.set_target_version(MODEL, 2)
        await asyncio.sleep(4)
        loaded_versions = [
            endpoint.version_by_model[MODEL]
            for endpoint in cluster.pool.endpoint_by_id.values()
            if endpoint.version_by_model
        ]
        assert sorted(loaded_versions) == [1, 1, 2, 2]

    entrybuilders.run_cluster(scenario, engines=4)
