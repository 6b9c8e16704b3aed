"""Test how entry instances follow the registration of endpoints."""

import asyncio

from tests import entrybuilders


def test_removed_endpoint_is_dropped_and_fails_no_task():
    async def scenario(cluster):
        entries = cluster.entry_by_name.values()
        cluster.pool.crash('engine-0')
        await asyncio.sleep(1)
        for entry in entries:
            assert 'engine-0' not in entry.node.registry.state_by_id
            assert 'engine-1' in entry.node.registry.state_by_id
            events = [event['event'] for event in entry.events]
            assert 'task-failed' not in events

    entrybuilders.run_cluster(scenario)
