"""Test which engines are ordered to load weights."""

from pomelopass.versions import orders
from tests import pathbuilders


def test_engine_that_leaves_gets_no_order():
    states = [pathbuilders.make_state(f'e{number}', m=1) for number in (0, 1)]
    states[0].said_leaving = True
    loads = orders.plan_loads(states, {'m': 2}, {'m': {'e0', 'e1'}}, ())
    assert [load.state.endpoint.id for load in loads] == ['e1']
