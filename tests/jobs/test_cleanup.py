"""Test the removal of expired jobs."""

import asyncio

import pytest

from pomelopass.jobs import cleanup
from pomelopass.jobs import job as jobs
from standins import virtualloop
from tests import entrybuilders


def make_record(**changes):
    fields = {
        'id': 'j',
        'owner': 'o',
        'owner_name': 'n',
        'total': 2,
        'chunks': 1,
        'accepted_ms': 0,
        **changes,
    }
    return jobs.JobRecord(**fields)


@pytest.mark.parametrize(
    ('record', 'now_ms', 'expired'),
    [
        (make_record(ended=True), 120_000, False),
        (make_record(ended=True), 136_000, True),
        (make_record(listed=2), 136_000, False),
        (make_record(listed=2), 1_300_000, True),
        (make_record(listed=1), 9_000_000, False),
    ],
)
def test_jobs_expire_after_their_retention_period(record, now_ms, expired):
    assert cleanup.is_expired(record, 120_000, now_ms) is expired


def test_all_rows_of_an_expired_job_are_removed():
    async def scenario():
        cluster = entrybuilders.make_cluster()
        await asyncio.sleep(2)
        submission = entrybuilders.make_submission()
        await cluster.submit('entry-0', submission)
        assert len(await cluster.read_all('job-1', 10)) == 12
        assert await cluster.entry_by_name['entry-1'].node.job_api.end('job-1')
        await asyncio.sleep(100)
        assert len(await cluster.read_all('job-1', 10)) == 12
        await asyncio.sleep(60)
        tables = {name.table for name in cluster.service.row_by_name}
        assert tables == {'op', 'servers', 'fleet'}
        job_api = cluster.entry_by_name['entry-2'].node.job_api
        assert await job_api.read('job-1', 0, 0) is None
        await cluster.stop()

    virtualloop.run(scenario())
