"""Prove that a non-repeatable request runs at most once."""

import hypothesis
from hypothesis import strategies as st

from tests.scenarios import orders

# With fewer, three broken lines of the claim went unseen.
LEAST_EXAMPLES = 400


@hypothesis.settings(
    max_examples=max(LEAST_EXAMPLES, hypothesis.settings.default.max_examples)
)
@hypothesis.given(
    seed=st.integers(0, 1000),
    actions=st.lists(orders.ACTIONS, min_size=4, max_size=24),
    issued=st.booleans(),
)
def test_at_most_once_under_random_faults(seed, actions, issued):
    orders.run_actions(seed, actions, issued)
