"""Test that peers see an instance alive whatever path its heartbeats take."""

import asyncio

import pytest

from tests import entrybuilders

SEEN_S = 4.0
STEPS = 10
HEARTBEAT_S = 0.5


# An owner cut off the store in mid-heartbeat lost its jobs 1.9 s later.
@pytest.mark.parametrize('kind', ['silent', 'one_way'])
@pytest.mark.parametrize('step', range(STEPS))
def test_instance_cut_off_the_store_is_seen_alive(kind, step):
    async def scenario(cluster):
        await asyncio.sleep(HEARTBEAT_S * step / STEPS)
        setattr(cluster.entry_by_name['entry-0'].client.faults, kind, True)
        loop = asyncio.get_running_loop()
        end = loop.time() + SEEN_S
        while loop.time() < end:
            for name in ('entry-1', 'entry-2'):
                membership = cluster.entry_by_name[name].node.membership
                assert membership.is_alive('entry-0', loop.time())
            await asyncio.sleep(0.05)

    entrybuilders.run_cluster(scenario, relays=True)


# In most of the 600 heartbeats a second of 300 instances, only the counter
# changes; one with another change must not be mistaken for its predecessor.
def test_heartbeats_are_decoded_again_once_they_say_something_new():
    async def scenario(cluster):
        membership = cluster.entry_by_name['entry-1'].node.membership

        async def read_next():
            seen_at = membership.seen_at_by_name['entry-0']
            while membership.seen_at_by_name['entry-0'] == seen_at:
                await asyncio.sleep(0.05)
            return membership.member_by_name['entry-0']

        first = await read_next()
        assert await read_next() is first
        cluster.entry_by_name['entry-0'].node.heartbeat.stop_accepting()
        await asyncio.sleep(2 * HEARTBEAT_S)
        stopping = await read_next()
        assert not stopping.accepting
        assert await read_next() is stopping
        cluster.kill('entry-0')
        cluster.start('entry-0')
        await asyncio.sleep(2 * HEARTBEAT_S)
        started = await read_next()
        assert started.accepting
        assert started.incarnation != stopping.incarnation

    entrybuilders.run_cluster(scenario)
