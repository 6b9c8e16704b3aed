"""Test rows that heartbeats write only when they changed."""

import asyncio
import random

from pomelopass.fleet import heartbeat
from pomelopass.table import rows
from standins import rowtable
from standins import virtualloop
from tests import pathbuilders

KEY = rows.Key('usage', heartbeat.make_key('', 'own').part, 'own-1')


def make_heartbeat(client, get_value):
    return heartbeat.Heartbeat(
        client.transact,
        pathbuilders.make_member('own'),
        dict,
        dict,
        lambda: True,
        {},
        lambda took_ms: None,
        random.Random(1),
        {KEY: get_value},
    )


def run(scenario):
    async def start():
        service = rowtable.RowService()
        client = rowtable.RowClient(service, random.Random(1))
        values = [None]
        beat = make_heartbeat(client, lambda: values[0])
        task = asyncio.ensure_future(beat.run())
        await scenario(service, client, values, beat, task)
        task.cancel()

    virtualloop.run(start())


def test_unchanged_row_is_written_once():
    async def scenario(service, client, values, beat, task):
        await asyncio.sleep(2)
        assert KEY not in service.row_by_name
        values[0] = b'1'
        await asyncio.sleep(1)
        version = service.row_by_name[KEY].version
        await asyncio.sleep(3)
        assert service.row_by_name[KEY].version == version
        # Without a value the row stays.
        values[0] = None
        await asyncio.sleep(1)
        assert service.row_by_name[KEY].value == b'1'

    run(scenario)


# The row of a heartbeat without an answer may be missing.
def test_row_of_a_failed_heartbeat_is_written_again():
    async def scenario(service, client, values, beat, task):
        await asyncio.sleep(1)
        client.faults.silent = True
        values[0] = b'1'
        await asyncio.sleep(3)
        assert KEY not in service.row_by_name
        client.faults.silent = False
        await asyncio.sleep(2)
        assert service.row_by_name[KEY].value == b'1'

    run(scenario)


def test_last_write_follows_a_heartbeat_without_an_answer():
    async def scenario(service, client, values, beat, task):
        await asyncio.sleep(1)
        client.faults.one_way = True
        await asyncio.sleep(1)
        task.cancel()
        client.faults.one_way = False
        values[0] = b'2'
        await beat.write_last(300)
        assert service.row_by_name[KEY].value == b'2'

    run(scenario)
