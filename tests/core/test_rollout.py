"""Test that orders follow the versions that engines report."""

from pomelopass.core import rollout


def make_state(
    engines: int = 3, max_concurrent: int = 2
) -> rollout.RolloutState:
    """Return a rollout to version 2 of the model m."""
    state = rollout.RolloutState(max_concurrent)
    rollout.set_engines(state, {f'e{n}': f'a{n}' for n in range(engines)})
    rollout.set_target(state, rollout.Target('m', 2, 'w2'))
    return state


def test_orders_are_limited_and_follow_reports():
    state = make_state()
    first = rollout.plan(state, 0)
    assert [order.endpoint_key for order in first] == ['e0', 'e1']
    assert rollout.plan(state, 100) == []
    rollout.record_report(state, 'e0', {'m': 2})
    third = rollout.plan(state, 200)
    assert [order.endpoint_key for order in third] == ['e2']


def test_order_without_effect_is_repeated():
    state = make_state(engines=1)
    assert rollout.plan(state, 0)
    rollout.record_report(state, 'e0', {'m': 1})
    assert rollout.plan(state, rollout.ORDER_TIMEOUT_MS)


def test_engine_reverted_by_a_stale_order_is_ordered_again():
    state = make_state(engines=1)
    rollout.plan(state, 0)
    rollout.record_report(state, 'e0', {'m': 2})
    assert rollout.find_outdated(state) == []
    rollout.record_report(state, 'e0', {'m': 1})
    assert rollout.find_outdated(state) == ['e0']
    assert rollout.plan(state, rollout.ORDER_TIMEOUT_MS)


def test_target_never_decreases():
    state = make_state()
    assert not rollout.set_target(state, rollout.Target('m', 1, 'w1'))
    assert state.target_by_model['m'].version == 2
