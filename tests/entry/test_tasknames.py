"""Test the names of failed background tasks in the log."""

import asyncio
import operator

import pytest

from standins import virtualloop
from tests import entrybuilders


@pytest.mark.parametrize(
    ('task', 'component', 'dependency'),
    [
        ('Follower.run', 'watch.operator', 'table'),
        ('Follower.run', 'watch.endpoints', 'table'),
        ('Follower.run', 'watch.fleet', 'table'),
        ('Follower.run', 'watch.jobs', 'table'),
        ('Heartbeat.run', 'heartbeat', 'get_runs'),
        ('Keeper.run', 'job_manager', 'view'),
        ('VersionKeeper.run', 'versions', 'registry'),
        ('Cleaner.run', 'cleaner', 'get_records'),
        ('TableWatch.keep_house', 'watch', 'fleet'),
    ],
)
def test_failed_task_is_logged_under_its_name(task, component, dependency):
    async def scenario():
        cluster = entrybuilders.make_cluster(instances=1, engines=1)
        await asyncio.sleep(entrybuilders.START_S)
        entry = cluster.entry_by_name['entry-0']
        # Without the dependency, the task raises in its next iteration.
        setattr(operator.attrgetter(component)(entry.node), dependency, None)
        # The slowest task iterates every 5 s: this covers two failures.
        await asyncio.sleep(12)
        failed_tasks = [
            event['task']
            for event in entry.events
            if event['event'] == 'task-failed'
        ]
        assert set(failed_tasks) == {task}
        assert len(failed_tasks) > 1
        await cluster.stop()

    virtualloop.run(scenario())
