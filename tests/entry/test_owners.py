"""Test former owners, ended jobs and interrupted streams."""

import asyncio
import dataclasses

import pytest

from pomelopass.jobs import jobtable
from standins import virtualloop
from tests.entry import test_jobs
from tests import entrybuilders


@pytest.mark.parametrize('seed', range(8))
def test_returning_former_owner_changes_no_position(seed):
    async def scenario(cluster):
        submission = entrybuilders.make_submission(groups=12)
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(0.4)
        stored = cluster.entry_by_name['entry-0'].node.jobs.get('job-1')
        owner = cluster.entry_by_name[stored.record.owner_name]
        owner.client.faults.down = True
        await asyncio.sleep(3 + 0.1 * seed)
        owner.client.faults.down = False
        others = [
            entry
            for entry in cluster.entry_by_name.values()
            if entry is not owner
        ]
        results = []
        while len(results) < len(submission.items):
            page = await others[0].node.job_api.read(
                'job-1', len(results), 500
            )
            results.extend(page.results)
        await asyncio.sleep(4)
        test_jobs.check_results(cluster, submission, results)
        new_entry = cluster.start('entry-9')
        await asyncio.sleep(1)
        page = await new_entry.node.job_api.read('job-1', 0, 0)
        assert list(page.results) == results[: len(page.results)]

    entrybuilders.run_cluster(scenario, seed, engines=2)


def test_ending_a_job_stops_long_runs():
    async def scenario(cluster):
        submission = entrybuilders.make_submission(groups=2, size=4)
        for item in submission.items:
            cluster.pool.events_by_item[item.id] = 400
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(1)
        assert await cluster.entry_by_name['entry-1'].node.job_api.end('job-1')
        await asyncio.sleep(0.5)
        engines = cluster.pool.endpoint_by_id.values()
        assert sum(engine.running for engine in engines) == 0

    entrybuilders.run_cluster(scenario)


@pytest.mark.parametrize('seed', range(4))
def test_stream_that_ends_inside_an_event_is_incomplete(seed):
    async def scenario():
        cluster = entrybuilders.make_cluster(seed)
        for endpoint in cluster.pool.endpoint_by_id.values():
            endpoint.break_share = 0.4
            endpoint.breaks_cleanly = True
        await asyncio.sleep(2)
        submission = entrybuilders.make_submission(groups=4)
        await cluster.submit('entry-0', submission)
        results = await cluster.read_all('job-1', 20)
        test_jobs.check_results(cluster, submission, results)
        await cluster.stop()

    virtualloop.run(scenario())


def test_item_refused_by_the_only_engine_is_sent_to_it_again():
    async def scenario(cluster):
        engine = cluster.pool.endpoint_by_id['engine-0']
        engine.loading = entrybuilders.MODEL
        submission = entrybuilders.make_submission(groups=2)
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(0.15)
        engine.loading = None
        results = await cluster.read_all('job-1', 10)
        test_jobs.check_results(cluster, submission, results)

    entrybuilders.run_cluster(scenario, engines=1)


def test_job_that_changes_hands_while_it_is_adopted_is_not_run():
    async def scenario(cluster):
        submission = entrybuilders.make_submission()
        await cluster.submit('entry-0', submission)
        record = cluster.entry_by_name['entry-0'].node.jobs.get('job-1').record
        other = next(
            entry
            for name, entry in cluster.entry_by_name.items()
            if name != record.owner_name
        )
        manager = other.node.job_manager
        # A paused instance reads both changes of the record at once.
        was_own = dataclasses.replace(
            record,
            owner=manager.incarnation,
            owner_name=manager.name,
            writes=record.writes + 50,
        )
        is_others = dataclasses.replace(record, writes=record.writes + 51)
        manager.apply(jobtable.StoredJob(was_own, 1))
        manager.apply(jobtable.StoredJob(is_others, 2))
        await asyncio.sleep(0.5)
        assert 'job-started' not in {event['event'] for event in other.events}

    entrybuilders.run_cluster(scenario)
