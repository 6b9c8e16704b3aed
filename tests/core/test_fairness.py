"""Test shares of trainers."""

import pytest

from pomelopass.core import fairness


def run(state: fairness.FairnessState, ready: set[str], rounds: int):
    """Distribute units and return the number per trainer."""
    units_by_trainer = dict.fromkeys(ready, 0)
    for _ in range(rounds):
        name = fairness.pick(state, ready)
        units_by_trainer[name] += 1
        fairness.charge(state, name, 1.0)
    return units_by_trainer


def test_shares_are_kept_within_five_percent():
    state = fairness.FairnessState({'a': 1.0, 'b': 2.0, 'c': 5.0})
    units_by_trainer = run(state, {'a', 'b', 'c'}, 800)
    assert units_by_trainer['a'] == pytest.approx(100, rel=0.05)
    assert units_by_trainer['b'] == pytest.approx(200, rel=0.05)
    assert units_by_trainer['c'] == pytest.approx(500, rel=0.05)


def test_unused_share_is_redistributed_without_compensation():
    state = fairness.FairnessState({'a': 1.0, 'b': 1.0})
    assert run(state, {'a'}, 100) == {'a': 100}
    units_by_trainer = run(state, {'a', 'b'}, 100)
    assert units_by_trainer['a'] == pytest.approx(50, rel=0.05)


def test_no_trainer_ready():
    assert fairness.pick(fairness.FairnessState({}), set()) is None
