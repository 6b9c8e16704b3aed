"""Test that endpoints that say they leave get no more requests."""

import asyncio

import pytest

from tests.entry import test_cut_instances as cuts
from tests.entry import test_jobs
from tests import entrybuilders

# Requests that were on their way when the endpoint said it.
SETTLE_S = 0.5


def leave(cluster, *names):
    for name in names:
        cluster.pool.endpoint_by_id[name].says_leaving = True


def count_ran(cluster, name):
    return len(cluster.pool.endpoint_by_id[name].ran)


async def check_gets_nothing(cluster, name, send):
    await send('first')
    await asyncio.sleep(SETTLE_S)
    count = count_ran(cluster, name)
    assert count > 0
    await send('second')
    assert count_ran(cluster, name) == count


@pytest.mark.parametrize('has_table', [True, False])
@pytest.mark.parametrize(
    ('name', 'paths'),
    [('desk-0', cuts.SHORT_PATHS), ('engine-0', cuts.STREAM_PATHS)],
)
def test_endpoint_that_says_it_leaves_gets_no_more_requests(
    name, paths, has_table
):
    async def scenario(cluster):
        cluster.service.down = not has_table
        leave(cluster, name)
        names = list(cluster.entry_by_name)

        async def send(prefix):
            await cuts.send_all(cluster, names, paths, prefix, 3, 0.1)

        await check_gets_nothing(cluster, name, send)

    entrybuilders.run_cluster(scenario)


def test_engine_that_says_it_leaves_gets_no_more_runs_and_orders():
    async def scenario(cluster):
        leave(cluster, 'engine-0')
        for number in range(2):
            submission = entrybuilders.make_submission(f'job-{number}', 6)
            count = count_ran(cluster, 'engine-0')
            await cluster.submit('entry-0', submission)
            results = await cluster.read_all(submission.id, 7.5)
            test_jobs.check_results(cluster, submission, results)
        # All jobs of a trainer have one owner.
        assert count > 0
        assert count_ran(cluster, 'engine-0') == count
        cluster.set_target_version(entrybuilders.MODEL, 2)
        await asyncio.sleep(6)
        assert not cluster.pool.endpoint_by_id['engine-0'].accepted_orders

    entrybuilders.run_cluster(scenario)


@pytest.mark.parametrize('kind', ['refusal', 'error'])
def test_notice_in_a_refusal_or_an_error_counts(kind):
    async def scenario(cluster):
        endpoint = cluster.pool.endpoint_by_id['desk-0']
        if kind == 'refusal':
            endpoint.slots = 0
        else:
            endpoint.error_share = 1.0
        leave(cluster, 'desk-0')
        names = list(cluster.entry_by_name)
        paths = ('/scores/1',)
        await cuts.send_all(cluster, names, paths, 'first', 3, 0.1)
        arrivals = len(endpoint.arrivals)
        assert arrivals > 0
        await cuts.send_all(cluster, names, paths, 'second', 3, 0.1)
        assert len(endpoint.arrivals) == arrivals

    entrybuilders.run_cluster(scenario)


def test_notice_outlasts_an_entry_that_still_says_ready():
    async def scenario(cluster):
        leave(cluster, 'desk-0')
        names = list(cluster.entry_by_name)
        endpoint = cluster.pool.endpoint_by_id['desk-0']

        async def send(prefix):
            await cuts.send_all(
                cluster, names, cuts.SHORT_PATHS, prefix, 3, 0.1
            )

        await send('first')
        count = count_ran(cluster, 'desk-0')
        cluster.service.remove('servers', 'desk-0')
        await asyncio.sleep(0.5)
        cluster.pool.register(endpoint)
        await asyncio.sleep(0.5)
        await send('second')
        assert count_ran(cluster, 'desk-0') == count

    entrybuilders.run_cluster(scenario)


def test_new_start_under_the_same_id_gets_requests_again():
    async def scenario(cluster):
        leave(cluster, 'desk-0')
        names = list(cluster.entry_by_name)
        await cuts.send_all(cluster, names, ('/scores/1',), 'first', 3, 0.1)
        endpoint = cluster.pool.endpoint_by_id['desk-0']
        count = count_ran(cluster, 'desk-0')
        endpoint.says_leaving = False
        endpoint.started_at_ms += 1
        cluster.pool.register(endpoint)
        await asyncio.sleep(SETTLE_S)
        await cuts.send_all(cluster, names, ('/scores/1',), 'second', 3, 0.1)
        assert count_ran(cluster, 'desk-0') > count

    entrybuilders.run_cluster(scenario)


def test_peer_whose_links_carried_the_notice_follows_it_too():
    async def scenario(cluster):
        leave(cluster, 'desk-0', 'desk-1')
        cuts.cut(cluster, ['entry-0'], cuts.CUT_KINDS[0])
        paths = ('/scores/1',)
        await cuts.send_all(cluster, ['entry-0'], paths, 'first', 3, 0.1)
        before = {
            name: count_ran(cluster, name) for name in ('desk-0', 'desk-1')
        }
        names = ['entry-0', 'entry-1', 'entry-2']
        for name in names:
            node = cluster.entry_by_name[name].node
            carried = node.registry.leaving_start_by_id
            if carried:
                await cuts.send_all(cluster, [name], paths, f's{name}', 1)
        assert before == {
            name: count_ran(cluster, name) for name in ('desk-0', 'desk-1')
        }
        informed = [
            name
            for name in names
            if cluster.entry_by_name[name].node.registry.leaving_start_by_id
        ]
        assert len(informed) > 1

    entrybuilders.run_cluster(scenario)
