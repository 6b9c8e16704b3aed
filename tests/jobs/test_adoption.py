"""Test the choice of the instance that runs a job."""

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


@given(st.permutations([make_member(f'm{number}') for number in range(6)]))
def test_order_does_not_depend_on_the_order_of_members(members):
    expected = adoption.get_order('job', sorted(members, key=str))
    assert adoption.get_order('job', members) == expected


def test_weak_instances_run_no_job_while_strong_ones_are_alive():
    members = [make_member(f's{number}', 2.15) for number in range(3)]
    members += [make_member(f'w{number}', 0.516) for number in range(9)]
    for number in range(50):
        owner = adoption.choose_owner(f'trainer-{number}', members, 'x')
        assert owner.startswith('s')
    assert adoption.choose_owner('t', members[3:], 'x').startswith('w')


def test_jobs_of_a_dead_owner_spread_evenly():
    members = [make_member(f'm{number}') for number in range(5)]
    counts = collections.Counter(
        adoption.get_order(f'job-{number}', members)[0]
        for number in range(1000)
    )
    assert min(counts.values()) > 140
    waits = [
        adoption.get_wait_ms('job', peer.name, members) for peer in members
    ]
    assert sorted(waits) == [0.0, 500.0, 1000.0, 1500.0, 2000.0]


def test_instance_behind_a_peer_runs_jobs_only_as_last_resort():
    members = [make_member(f'm{number}') for number in range(4)]
    relayed = [
        dataclasses.replace(peer, is_direct=False) for peer in members[:2]
    ]
    for number in range(30):
        candidates = [*relayed, *members[2:]]
        owner = adoption.choose_owner(f'trainer-{number}', candidates, 'x')
        assert owner in ('m2', 'm3')
    assert adoption.choose_owner('t', relayed, 'x') in ('m0', 'm1')


def test_instance_without_endpoints_runs_jobs_only_as_last_resort():
    members = [make_member(f'm{number}') for number in range(4)]
    cut_off = {'m0', 'm1', 'm2'}
    for number in range(30):
        order = adoption.get_order(
            f'trainer-{number}', members, cut_off.__contains__
        )
        assert order[0] == 'm3'
    assert adoption.choose_owner('t', members[:1], 'x', bool) == 'm0'


def test_callers_are_sent_to_instances_with_direct_table_access():
    membership = member.Membership('m0')
    for number in range(5):
        peer = make_member(f'm{number}')
        if number < 2:
            peer = dataclasses.replace(peer, is_direct=False)
        membership.put(peer, 10.0)
    names = {peer.name for peer in membership.get_direct(10.5)}
    assert names == {'m2', 'm3', 'm4'}
    # If the table is unreachable for most instances, all remain candidates.
    membership.put(
        dataclasses.replace(make_member('m4'), is_direct=False), 10.5
    )
    assert len(membership.get_direct(10.6)) == 5
