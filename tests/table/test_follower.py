"""Test the follower of table changes."""

import asyncio
import random

from pomelopass.table import follower
from pomelopass.table import rows
from standins import rowtable
from standins import virtualloop


def test_no_change_is_missed_while_answers_are_in_transit():
    async def scenario():
        service = rowtable.RowService()
        rng = random.Random(3)
        received = []
        table_follower = follower.Follower(
            rowtable.RowClient(service, rng), 't', ('',), received.append, rng
        )
        follow_task = asyncio.ensure_future(table_follower.run())
        for number in range(200):
            service.put('t', f'k{number:03d}', b'v')
            await asyncio.sleep(rng.uniform(0, 0.006))
        await asyncio.sleep(0.1)
        follow_task.cancel()
        keys = [row.name.key for row in received if isinstance(row, rows.Row)]
        assert keys == [f'k{number:03d}' for number in range(200)]

    virtualloop.run(scenario())


# A table may answer reads from an older moment after it dropped its history.
def test_removed_row_does_not_come_back_from_an_older_read():
    async def scenario():
        service = rowtable.RowService()
        rng = random.Random(3)
        client = rowtable.RowClient(service, rng)
        received = []
        table_follower = follower.Follower(
            client, 't', ('',), received.append, rng
        )
        follow_task = asyncio.ensure_future(table_follower.run())
        service.put('t', 'kept', b'v')
        service.put('t', 'removed', b'v')
        await asyncio.sleep(0.1)
        service.remove('t', 'removed')
        await asyncio.sleep(0.1)
        client.faults.stale_s = 0.15
        service.put('other', 'k', b'v')
        service.forget_history()
        await asyncio.sleep(3.0)
        service.put('t', 'added', b'v')
        await asyncio.sleep(2.0)
        follow_task.cancel()
        assert [row.name.key for row in received] == [
            'kept',
            'removed',
            'removed',
            'added',
        ]

    virtualloop.run(scenario())
