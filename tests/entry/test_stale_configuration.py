"""Test what an instance decides by a copy that may be out of date."""

import asyncio
import dataclasses

from pomelopass.jobs import api as jobapi
from pomelopass import message
from pomelopass.table import rows
from standins import virtualloop
from tests import entrybuilders

UNROUTED = message.Request(
    'POST',
    '/added-later/1',
    (('host', entrybuilders.HOST), ('attempt-id', 'r1')),
)


async def get_status(entry):
    return (await entry.node.ingress.handle(UNROUTED)).status


def run(scenario, seed=1):
    async def start():
        cluster = entrybuilders.make_cluster(seed)
        await asyncio.sleep(entrybuilders.START_S)
        await scenario(cluster)
        await cluster.stop()

    virtualloop.run(start())


# A caller takes a 404 for final, and the route may just have been added.
def test_unknown_route_is_refused_for_good_only_by_a_confirmed_copy():
    async def scenario(cluster):
        entry = cluster.entry_by_name['entry-0']
        for _ in range(40):
            assert await get_status(entry) == 404
            await asyncio.sleep(0.1)
        entry.client.faults.silent = True
        await asyncio.sleep(2.1)
        assert await get_status(entry) == 503
        lines = [
            event
            for event in entry.events
            if event['event'] == 'route-not-found'
        ]
        assert [line['status'] for line in lines[-2:]] == [404, 503]
        assert lines[-1]['age_ms'] > 2000
        assert lines[-1]['configuration'] == 1
        entry.client.faults.silent = False
        await asyncio.sleep(3.0)
        assert await get_status(entry) == 404

    run(scenario)


def test_instance_that_has_just_loaded_confirms_before_it_refuses():
    async def scenario(cluster):
        cluster.kill('entry-0')
        entry = cluster.start('entry-0')
        statuses = []
        for _ in range(100):
            statuses.append(await get_status(entry))
            await asyncio.sleep(0.001)
        assert statuses == sorted(statuses, reverse=True)
        assert set(statuses) == {503, 404}

    run(scenario)


async def cut_operator_table(entry, duration_s):
    """Let an instance receive no change by the operator for a while."""
    follower = entry.node.watch.operator
    table = follower.table
    follower.table = HangingTable()
    await asyncio.sleep(duration_s)
    follower.table = table


class HangingTable:
    """Table whose polls time out."""

    async def follow(self, table, after, wait_ms):
        await asyncio.sleep(1.2)
        raise rows.TableError('timeout', False)


# The owner may be another instance than the one that accepted the job.
def test_job_on_a_route_that_its_owner_does_not_have_yet_is_completed():
    async def scenario(cluster):
        submission = entrybuilders.make_submission(groups=2, size=2)
        node = cluster.entry_by_name['entry-0'].node
        _, owner = node.job_manager.choose_owner(submission)
        cut = asyncio.ensure_future(
            cut_operator_table(cluster.entry_by_name[owner], 4.0)
        )
        await asyncio.sleep(2.5)
        value = entrybuilders.make_configuration(2)
        value['routes'][0]['path_prefix'] = '/jobs-added/'
        cluster.put_configuration(value)
        await asyncio.sleep(0.5)
        submission = dataclasses.replace(
            submission, target='/jobs-added/submit'
        )
        acceptor = next(
            name for name in cluster.entry_by_name if name != owner
        )
        outcome = await cluster.submit(acceptor, submission)
        assert outcome is jobapi.Acceptance.ACCEPTED
        results = await cluster.read_all('job-1', 20)
        assert len(results) == 4
        assert all(result.completed for result in results)
        await cut

    run(scenario)
