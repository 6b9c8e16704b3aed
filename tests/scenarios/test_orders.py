"""Test that a non-repeatable request runs at most once."""

import hypothesis
from hypothesis import strategies as st

from tests.scenarios import orders

# Fewer examples miss three mutants of the claim code.
MIN_EXAMPLES = 400


@hypothesis.settings(
    max_examples=max(MIN_EXAMPLES, hypothesis.settings.default.max_examples)
)
@hypothesis.given(
    seed=st.integers(0, 1000),
    actions=st.lists(orders.ACTIONS, min_size=4, max_size=24),
    use_issued_keys=st.booleans(),
)
def test_at_most_once_under_random_faults(seed, actions, use_issued_keys):
    orders.run_actions(seed, actions, use_issued_keys)
