"""Test texts of items that several jobs of a trainer carry."""

import asyncio
import dataclasses

from tests.entry import test_jobs
from tests import entrybuilders

LONG_EVENTS = 100


# The runs of two jobs appended to one text: events stood in it twice.
def test_two_open_jobs_with_one_item_write_separate_texts():
    async def scenario(cluster):
        first = entrybuilders.make_submission(groups=1, size=2)
        for item in first.items:
            cluster.pool.events_by_item[item.id] = LONG_EVENTS
        await cluster.submit('entry-0', first)
        await asyncio.sleep(1.0)
        # The end of a job moves its unfinished texts to the cache.
        await cluster.entry_by_name['entry-0'].node.job_api.end('job-1')
        await asyncio.sleep(0.2)
        carried = []
        for number in (2, 3):
            again = dataclasses.replace(first, id=f'job-{number}')
            carried.append(again)
            await cluster.submit('entry-0', again)
            await asyncio.sleep(0.3)
        started = cluster.get_events('job-started')
        assert [event['carried'] for event in started] == [0, 2, 2]
        for again in carried:
            results = await cluster.read_all(again.id, 20)
            test_jobs.check_results(cluster, again, results)

    entrybuilders.run_cluster(scenario, instances=1)
