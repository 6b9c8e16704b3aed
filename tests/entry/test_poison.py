"""Test requests and items that crash the endpoints that run them."""

import asyncio

import pytest

from pomelopass import message
from standins import modelengines
from tests import entrybuilders


async def send_request(cluster, name, request_id, body, path='/scores/1'):
    request = message.Request(
        'POST',
        path,
        (('host', entrybuilders.HOST), ('attempt-id', request_id)),
        body,
    )
    return await cluster.entry_by_name[name].node.ingress.handle(request)


def test_request_that_crashes_endpoints_is_refused_everywhere():
    async def scenario(cluster):
        for number in range(12):
            name = f'entry-{number % 3}'
            await send_request(
                cluster, name, f'bad-{number}', modelengines.POISON
            )
            await asyncio.sleep(1.5)
        runs = sum(
            request_id.startswith('bad')
            for endpoint in cluster.pool.endpoint_by_id.values()
            for request_id in endpoint.ran
        )
        assert 3 <= runs <= 5
        reply = await send_request(
            cluster, 'entry-0', 'bad-x', modelengines.POISON
        )
        assert reply.status == 503
        assert message.find_header(reply.headers, 'retry-after')
        reply = await send_request(cluster, 'entry-0', 'good', b'harmless')
        assert reply.status == 200

    entrybuilders.run_cluster(scenario)


def test_content_that_ran_to_its_end_is_cleared_on_all_instances():
    async def send(cluster, name, request_id):
        # Not repeated after a crash.
        return await send_request(
            cluster, name, request_id, b'sound', '/orders/1'
        )

    async def scenario(cluster):
        for number in range(2):
            cluster.pool.crashes_left_by_id[f'a-{number}'] = 1
            await send(cluster, 'entry-0', f'a-{number}')
            await asyncio.sleep(1.5)
        # The content runs to its end elsewhere, then meets a third crash.
        assert (await send(cluster, 'entry-1', 'b')).status == 200
        await asyncio.sleep(1.5)
        cluster.pool.crashes_left_by_id['c'] = 1
        await send(cluster, 'entry-2', 'c')
        await asyncio.sleep(1.5)
        for name in cluster.entry_by_name:
            assert (await send(cluster, name, f'd-{name}')).status == 200

    entrybuilders.run_cluster(scenario)


@pytest.mark.parametrize('times', [3, 6])
def test_item_under_which_engines_crashed_is_placed_again_at_once(times):
    async def scenario(cluster):
        submission = entrybuilders.make_submission(groups=1, size=1)
        item = submission.items[0]
        cluster.pool.crashes_left_by_id[item.id] = times
        await cluster.submit('entry-0', submission)
        results = await cluster.read_all('job-1', 25)
        assert [result.completed for result in results] == [True]
        run_times = cluster.pool.run_times_by_id[item.id]
        assert len(run_times) >= times + 1
        pauses = [
            later - earlier
            for earlier, later in zip(run_times, run_times[1:], strict=False)
        ]
        # An item that is owed is placed within 5 s of calm.
        assert max(pauses) < 5.0

    entrybuilders.run_cluster(scenario, engines=4)


@pytest.mark.parametrize('times', [3, 4])
def test_reward_call_under_which_endpoints_crashed_is_sent_again(times):
    async def scenario(cluster):
        submission = entrybuilders.make_submission(groups=1, size=1)
        reward_id = submission.items[0].reward.id
        cluster.pool.crashes_left_by_id[reward_id] = times
        await cluster.submit('entry-0', submission)
        results = await cluster.read_all('job-1', 15)
        assert [result.completed for result in results] == [True]
        run_times = cluster.pool.run_times_by_id[reward_id]
        pauses = [
            later - earlier
            for earlier, later in zip(run_times, run_times[1:], strict=False)
        ]
        assert max(pauses) < 5.0

    entrybuilders.run_cluster(scenario)
