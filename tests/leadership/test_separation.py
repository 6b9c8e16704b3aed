"""Test duties whose holders the platform distinguishes by instance."""

import asyncio
import random

import orjson

from pomelopass.fleet import member
from pomelopass.leadership import duty
from pomelopass.leadership import leader
from pomelopass.table import rows
from standins import rowtable
from standins import virtualloop
from tests import pathbuilders

KEY = rows.Key('fleet', '', 'usage/windows')
LEASE_MS = 3000.0


def make_duty(service, name='entry-0', members=(), is_checked=True):
    loop = asyncio.get_running_loop()
    membership = member.Membership(name)
    for peer in members:
        membership.put(pathbuilders.make_member(peer), loop.time())
    membership.mark_fresh(loop.time())
    return duty.Duty(
        leader.USAGE_PREFIX,
        name,
        f'{name}-1',
        duty.DutySettings(LEASE_MS, is_checked, separates_holders=True),
        rowtable.RowClient(service, random.Random(1)),
        membership,
        lambda subject: None,
        loop.time,
    )


def put_leader(service, usage_duty, holder, name, fence):
    """Write the row of another holder and pass it to the instance."""
    row = leader.LeaderRow(holder, name, fence, 1)
    service.apply(rows.Transaction(puts=((KEY, orjson.dumps(row)),)))
    usage_duty.apply_row(service.row_by_name[KEY])


async def wait_for_grant(usage_duty):
    """Return how long the instance waits before its first call."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    while await usage_duty.confirm('windows') is None:
        await asyncio.sleep(0.05)
    return (loop.time() - began_at) * 1000


# Instances that started again at once acted in the order A, B, A.
def test_duty_of_another_instance_is_taken_a_lease_later():
    async def scenario():
        service = rowtable.RowService()
        usage_duty = make_duty(service)
        put_leader(service, usage_duty, 'entry-1-1', 'entry-1', 4)
        assert await wait_for_grant(usage_duty) >= LEASE_MS
        # An earlier start of the same instance is no other holder.
        put_leader(service, usage_duty, 'entry-0-0', 'entry-0', 6)
        usage_duty = make_duty(service)
        usage_duty.apply_row(service.row_by_name[KEY])
        assert await wait_for_grant(usage_duty) < LEASE_MS

    virtualloop.run(scenario())


def test_earlier_start_is_waited_for_where_tokens_are_unchecked():
    async def scenario():
        service = rowtable.RowService()
        usage_duty = make_duty(service, is_checked=False)
        put_leader(service, usage_duty, 'entry-0-0', 'entry-0', 6)
        waited_ms = await wait_for_grant(usage_duty)
        assert waited_ms >= LEASE_MS + duty.GRANT_MS

    virtualloop.run(scenario())


def test_refused_token_allows_no_call_and_the_next_one_is_higher():
    async def scenario():
        usage_duty = make_duty(rowtable.RowService())
        grant = await usage_duty.confirm('windows')
        usage_duty.refuse(grant)
        assert not usage_duty.is_valid(grant)
        assert await usage_duty.confirm('windows') is None
        assert not usage_duty.is_own('windows')
        following = await usage_duty.confirm('windows')
        assert following.fence == grant.fence + 1
        assert usage_duty.is_valid(following)

    virtualloop.run(scenario())


# An instance that cannot call the platform took the duty back at once.
def test_instance_that_gave_a_duty_up_is_not_the_next_holder():
    async def scenario():
        service = rowtable.RowService()
        names = ('entry-0', 'entry-1', 'entry-2')
        duties = [make_duty(service, name, names) for name in names]
        chosen = set()
        for fence in range(1, 25):
            for usage_duty in duties:
                put_leader(service, usage_duty, '', 'entry-1', fence)
            takers = [
                usage_duty.name
                for usage_duty in duties
                if usage_duty.may_lead('windows')
            ]
            assert len(takers) == 1
            chosen.update(takers)
        assert chosen == {'entry-0', 'entry-2'}

    virtualloop.run(scenario())


def test_write_on_the_condition_of_a_lost_duty_is_not_applied():
    async def scenario():
        service = rowtable.RowService()
        usage_duty = make_duty(service)
        await usage_duty.confirm('windows')
        condition = usage_duty.get_condition('windows')
        put_leader(service, usage_duty, 'entry-1-1', 'entry-1', 2)
        late = rows.Transaction((condition,), ((KEY, b'{}'),))
        assert isinstance(service.apply(late), rows.Conflict)

    virtualloop.run(scenario())
