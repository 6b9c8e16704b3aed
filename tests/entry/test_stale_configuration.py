"""Test what an instance decides by a copy that may be out of date."""

import asyncio

from pomelopass import message
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
