"""Test what a leader may order after its duty went to another instance."""

import asyncio
import random

import orjson
import pytest

from pomelopass.fleet import member
from pomelopass.leadership import duty
from pomelopass.leadership import leader
from pomelopass.table import rows
from standins import rowtable
from standins import virtualloop
from tests import entrybuilders

MODEL = entrybuilders.MODEL
SERVICE = 'engines'
KEY = leader.Leadership(f'{leader.WEIGHTS_PREFIX}{SERVICE}', '', '').key
LEASE_MS = 3000.0
# Within the validity of a grant.
REPORT_S = 0.4


def take_over(service, holder):
    """Write the leader row as an instance does that takes the duty."""
    row = leader.decode_leader(service.row_by_name[KEY].value)
    taken = leader.LeaderRow(
        holder, holder.rpartition('-')[0], row.fence + 1, row.confirmations + 1
    )
    service.apply(rows.Transaction(puts=((KEY, orjson.dumps(taken)),)))
    return taken.fence


def make_duty(table, is_checked=True):
    return duty.Duty(
        leader.WEIGHTS_PREFIX,
        'entry-0',
        'entry-0-1',
        duty.DutySettings(LEASE_MS, is_checked),
        table,
        member.Membership('entry-0'),
        lambda subject: None,
        asyncio.get_running_loop().time,
    )


def get_fences(cluster, version):
    return {
        order.fence
        for endpoint in cluster.pool.endpoint_by_id.values()
        for order in endpoint.accepted_orders
        if order.version == version
    }


# The token of the newest row went into an order of the former leader.
@pytest.mark.parametrize('connect_s', [0.0, 0.3])
def test_leader_that_lost_its_duty_sends_no_order(connect_s):
    async def scenario(cluster):
        cluster.set_target_version(MODEL, 2)
        await asyncio.sleep(4)
        engines = [
            endpoint
            for endpoint in cluster.pool.endpoint_by_id.values()
            if endpoint.version_by_model
        ]
        for engine in engines:
            engine.report_s = REPORT_S - connect_s
        links = cluster.entry_by_name['entry-0'].links
        links.connect_s = connect_s
        reported_count = sum(len(engine.arrivals) for engine in engines)
        before = leader.decode_leader(cluster.service.row_by_name[KEY].value)
        cluster.set_target_version(MODEL, 3)
        # The leader is confirmed; its order waits for a report and connects.
        while (
            leader.decode_leader(
                cluster.service.row_by_name[KEY].value
            ).confirmations
            == before.confirmations
        ):
            await asyncio.sleep(0.01)
        await asyncio.sleep(REPORT_S / 2)
        taken_fence = take_over(cluster.service, 'entry-9-1')
        await asyncio.sleep(5)
        assert sum(len(engine.arrivals) for engine in engines) > reported_count
        # The duty returns, as no instance entry-9 lives.
        assert get_fences(cluster, 3) == {taken_fence + 1}

    entrybuilders.run_cluster(scenario, instances=1)


def test_grant_ends_and_does_not_outlive_its_duty():
    async def scenario():
        service = rowtable.RowService()
        order_duty = make_duty(rowtable.RowClient(service, random.Random(1)))
        grant = await order_duty.confirm(SERVICE)
        other_grant = await order_duty.confirm('others')
        assert order_duty.is_valid(grant)
        await asyncio.sleep(duty.GRANT_MS / 1000 - 0.1)
        assert order_duty.is_valid(grant)
        # The confirmation for another service does not extend this grant.
        await order_duty.confirm('others')
        await asyncio.sleep(0.2)
        assert not order_duty.is_valid(grant)
        grant = await order_duty.confirm(SERVICE)
        take_over(service, 'entry-1-1')
        order_duty.apply_row(service.row_by_name[KEY])
        assert not order_duty.is_valid(grant)
        assert grant.fence == other_grant.fence == 1

    virtualloop.run(scenario())


class _ChangesFirst(rowtable.RowClient):
    """Table whose changes arrive before the answers to writes."""

    def __init__(self, service, on_applied):
        super().__init__(service, random.Random(1))
        self.on_applied = on_applied

    async def transact(self, transaction):
        outcome = await super().transact(transaction)
        self.on_applied()
        return outcome


# The answer to the confirmation replaced the row of the next leader.
def test_late_answer_does_not_hide_the_next_leader():
    async def scenario():
        service = rowtable.RowService()
        table = _ChangesFirst(service, lambda: None)
        order_duty = make_duty(table)
        await order_duty.confirm(SERVICE)

        def pass_on():
            take_over(service, 'entry-1-1')
            order_duty.apply_row(service.row_by_name[KEY])

        table.on_applied = pass_on
        grant = await order_duty.confirm(SERVICE)
        assert not order_duty.is_valid(grant)

    virtualloop.run(scenario())


# Its wait was over before the last grant of the former leader ended.
@pytest.mark.parametrize('loses_answer', [False, True])
def test_new_leader_waits_for_the_grants_of_the_former_one(loses_answer):
    async def scenario():
        loop = asyncio.get_running_loop()
        service = rowtable.RowService()
        client = rowtable.RowClient(service, random.Random(1))
        former = make_duty(client, is_checked=False)
        await former.confirm(SERVICE)
        take_over(service, 'entry-1-1')
        order_duty = make_duty(client, is_checked=False)
        order_duty.apply_row(service.row_by_name[KEY])
        taken_at = loop.time()
        if loses_answer:
            # The write was applied; only the change tells.
            take_over(service, 'entry-0-1')
            order_duty.apply_row(service.row_by_name[KEY])
        while await order_duty.confirm(SERVICE) is None:
            await asyncio.sleep(0.05)
        waited_ms = (loop.time() - taken_at) * 1000
        assert waited_ms >= LEASE_MS + duty.GRANT_MS

    virtualloop.run(scenario())
