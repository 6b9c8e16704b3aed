"""Test that versions only increase and need a stored marker."""

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.core import adoption


@given(st.lists(st.tuples(st.integers(1, 9), st.booleans())))
def test_versions_only_increase(steps):
    state = adoption.AdoptionState()
    last = 0
    for version, marker_stored in steps:
        head = adoption.Head(version, 'd')
        if adoption.may_adopt(state, head, marker_stored):
            assert marker_stored
            assert version > last
            adoption.record_adopted(state, head)
            last = version


def test_start_needs_one_store_that_answers():
    old, new = adoption.Head(1, 'a'), adoption.Head(2, 'b')
    assert adoption.choose_at_start(new, True, [old], True) == new
    assert adoption.choose_at_start(None, False, [old, new], True) == new
    assert adoption.choose_at_start(None, False, [], False) is None
