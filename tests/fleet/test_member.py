"""Test which instances are asked to carry requests of others."""

from pomelopass.fleet import member
from tests import pathbuilders


def make_membership(*names):
    membership = member.Membership('own')
    for name in ('own', *names):
        membership.member_by_name[name] = pathbuilders.make_member(name)
        membership.seen_at_by_name[name] = 10.0
    membership.mark_fresh(10.0)
    return membership


def get_names(membership):
    return {helper.name for helper in membership.get_helpers(10.0)}


def test_instances_without_endpoints_are_not_asked_for_help():
    membership = make_membership('a', 'b')
    membership.put_cut_off('a', '1')
    assert get_names(membership) == {'b'}
    membership.put_cut_off('a', None)
    assert get_names(membership) == {'a', 'b'}


def test_report_of_an_earlier_start_is_void():
    membership = make_membership('a')
    membership.put_cut_off('a', '0')
    assert get_names(membership) == {'a'}
