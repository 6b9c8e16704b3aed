"""Test that leaving is final and that older lists have no effect."""

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.core import endpoint
from pomelopass.core import membership

LISTS = st.lists(
    st.tuples(st.integers(0, 5), st.booleans(), st.booleans()), max_size=12
)


def make_endpoint(
    incarnation: str = '1', leaving: bool = False
) -> endpoint.Endpoint:
    """Return an endpoint of the pool p."""
    return endpoint.Endpoint(
        'e', incarnation, 'p', '127.0.0.1:1', 'north', leaving
    )


@given(LISTS)
def test_leaving_incarnation_stays_unusable(lists):
    state = membership.MembershipState()
    left = False
    for number, leaving, present in lists:
        newer = number > state.list_number
        listed = [make_endpoint(leaving=leaving)] if present else []
        membership.apply_list(state, number, listed, float(number))
        left = left or (newer and present and leaving)
        if left:
            assert not membership.find_usable(state, 'p')


def test_new_incarnation_is_usable():
    state = membership.MembershipState()
    membership.apply_list(state, 1, [make_endpoint(leaving=True)], 0)
    membership.apply_list(state, 2, [make_endpoint('2')], 1)
    assert [usable.key for usable in membership.find_usable(state, 'p')] == [
        'e@2'
    ]


def test_older_list_has_no_effect():
    state = membership.MembershipState()
    membership.apply_list(state, 5, [make_endpoint()], 0)
    membership.apply_list(state, 4, [], 1)
    assert membership.find_usable(state, 'p')
