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
