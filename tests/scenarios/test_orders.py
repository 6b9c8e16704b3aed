"""Prove that a non-repeatable request runs at most once."""

import hypothesis
from hypothesis import strategies as st

from tests.scenarios import orders


@hypothesis.given(
    seed=st.integers(0, 1000),
    actions=st.lists(orders.ACTIONS, min_size=4, max_size=24),
    issued=st.booleans(),
)
def test_at_most_once_under_random_faults(seed, actions, issued):
    orders.run_actions(seed, actions, issued)
