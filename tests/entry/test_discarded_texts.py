"""Test that items whose texts were discarded are generated again."""

import asyncio

import pytest

from tests.entry import test_jobs
from tests import entrybuilders

STEP_S = 0.013


def drop_texts(cluster):
    """Discard the growing texts, as if memory were short."""
    for entry in cluster.entry_by_name.values():
        for share in list(entry.node.forwarder.memory.shares):
            if share.discard is not None:
                share.drop()


# A text that went on after its start was discarded would lack events.
@pytest.mark.parametrize('seed', range(4))
def test_discarded_text_begins_again_and_is_whole(seed):
    async def scenario(cluster):
        submission = entrybuilders.make_submission(groups=3)
        for endpoint in cluster.pool.endpoint_by_id.values():
            endpoint.break_share = 0.2
        await cluster.submit('entry-0', submission)
        # Before, while and after runs open, stream and are scored.
        for number in range(60):
            await asyncio.sleep(STEP_S)
            if number % 10 == seed:
                drop_texts(cluster)
        results = await cluster.read_all('job-1', 30)
        test_jobs.check_results(cluster, submission, results)
        for entry in cluster.entry_by_name.values():
            assert entry.node.forwarder.memory.total >= 0

    entrybuilders.run_cluster(scenario, seed, engines=4)


# Its events come fast, so that it was chosen again and again.
def test_engine_whose_text_never_ends_is_the_last_choice_for_the_item():
    async def scenario(cluster):
        for name in ('engine-0', 'engine-1'):
            cluster.pool.endpoint_by_id[name].endless = 'rising-events'
        scheduler = cluster.entry_by_name['entry-0'].node.scheduler
        acquire = scheduler.acquire
        avoided = []

        async def acquire_noted(waiting_item):
            avoided.append(set(waiting_item.avoid))
            return await acquire(waiting_item)

        scheduler.acquire = acquire_noted
        submission = entrybuilders.make_submission(groups=1, size=1)
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(5)
        assert len(avoided) > 4
        assert {'engine-0', 'engine-1'} in avoided
        # The item fails by itself, and is done once an engine is sound.
        cluster.pool.endpoint_by_id['engine-1'].endless = None
        results = await cluster.read_all('job-1', 10)
        test_jobs.check_results(cluster, submission, results)

    entrybuilders.run_cluster(scenario, instances=1, engines=2)


# A new owner read all results of the job at once to learn their items.
def test_listed_items_are_read_in_pages():
    async def scenario(cluster):
        submission = entrybuilders.make_submission(groups=2, size=4)
        for item in submission.items:
            cluster.pool.events_by_item[item.id] = 3
        await cluster.submit('entry-0', submission)
        results = await cluster.read_all('job-1', 10)
        table = cluster.entry_by_name['entry-1'].node.job_table
        listed = await table.fetch_listed('job-1', len(results))
        assert listed == {item.id for item in submission.items}
        first_listed = await table.fetch_listed('job-1', 3)
        assert first_listed == {result.item_id for result in results[:3]}

    entrybuilders.run_cluster(scenario)
