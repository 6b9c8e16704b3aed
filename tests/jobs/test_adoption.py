"""Test which instance runs a job."""

import collections
import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.fleet import member
from pomelopass.jobs import adoption


def make_member(name, capacity=1.0):
    return member.Member(
        name, f'{name}-1', 'north', 'a', 'b', True, 1, {}, capacity
    )


@given(st.permutations([make_member(f'm{one}') for one in range(6)]))
def test_all_instances_agree_whatever_they_heard_first(members):
    expected = adoption.get_order('job', sorted(members, key=str))
    assert adoption.get_order('job', members) == expected


def test_weak_instances_run_no_job_while_strong_ones_live():
    members = [make_member(f's{one}', 2.15) for one in range(3)]
    members += [make_member(f'w{one}', 0.516) for one in range(9)]
    for number in range(50):
        owner = adoption.choose_owner(f'trainer-{number}', members, 'x')
        assert owner.startswith('s')
    assert adoption.choose_owner('t', members[3:], 'x').startswith('w')


def test_jobs_of_a_dead_owner_spread_evenly():
    members = [make_member(f'm{one}') for one in range(5)]
    counts = collections.Counter(
        adoption.get_order(f'job-{number}', members)[0]
        for number in range(1000)
    )
    assert min(counts.values()) > 140
    waits = [adoption.get_wait_ms('job', one.name, members) for one in members]
    assert sorted(waits) == [0.0, 500.0, 1000.0, 1500.0, 2000.0]


def test_instance_behind_a_peer_runs_jobs_only_if_no_other_can():
    members = [make_member(f'm{one}') for one in range(4)]
    relayed = [
        dataclasses.replace(one, is_direct=False) for one in members[:2]
    ]
    for number in range(30):
        some = [*relayed, *members[2:]]
        owner = adoption.choose_owner(f'trainer-{number}', some, 'x')
        assert owner in ('m2', 'm3')
    assert adoption.choose_owner('t', relayed, 'x') in ('m0', 'm1')


def test_callers_are_sent_to_instances_that_reach_the_table_themselves():
    membership = member.Membership('m0')
    for number in range(5):
        one = make_member(f'm{number}')
        if number < 2:
            one = dataclasses.replace(one, is_direct=False)
        membership.put(one, 10.0)
    names = {one.name for one in membership.get_direct(10.5)}
    assert names == {'m2', 'm3', 'm4'}
    # With the table away for most, all of them go on.
    membership.put(
        dataclasses.replace(make_member('m4'), is_direct=False), 10.5
    )
    assert len(membership.get_direct(10.6)) == 5
