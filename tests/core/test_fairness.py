"""Check shares between trainers."""

import pytest

from pomelopass.core import fairness


def run(state: fairness.FairnessState, ready: set[str], rounds: int):
    """Hand out units and return how many each trainer got."""
    got = dict.fromkeys(ready, 0)
    for _ in range(rounds):
        name = fairness.pick(state, ready)
        got[name] += 1
        fairness.charge(state, name, 1.0)
    return got


def test_shares_are_kept_within_five_percent():
    state = fairness.FairnessState({'a': 1.0, 'b': 2.0, 'c': 5.0})
    got = run(state, {'a', 'b', 'c'}, 800)
    assert got['a'] == pytest.approx(100, rel=0.05)
    assert got['b'] == pytest.approx(200, rel=0.05)
    assert got['c'] == pytest.approx(500, rel=0.05)


def test_unused_share_is_used_and_not_paid_back():
    state = fairness.FairnessState({'a': 1.0, 'b': 1.0})
    assert run(state, {'a'}, 100) == {'a': 100}
    got = run(state, {'a', 'b'}, 100)
    assert got['a'] == pytest.approx(50, rel=0.05)


def test_nobody_ready():
    assert fairness.pick(fairness.FairnessState({}), set()) is None
