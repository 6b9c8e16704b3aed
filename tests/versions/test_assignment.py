"""Test how engines are shared among models."""

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.registry import endpoint
from pomelopass.versions import assignment
from pomelopass.versions import orders


def make_state(name: str, **version_by_model: int) -> endpoint.EndpointState:
    found = endpoint.Endpoint(
        name, 'engines', '10.0.0.1:1', 'north', 8, False, version_by_model, 1
    )
    return endpoint.EndpointState(
        found, version_by_model=dict(version_by_model)
    )


def test_two_trainers_load_each_version_on_their_own_share():
    engines = [make_state(f'e{one}', a=1, b=1) for one in range(5)]
    loads = 0
    for version in range(2, 8):
        named = {'a': version, 'b': version}
        for _ in range(6):
            assigned = assignment.assign_engines(
                engines,
                named,
                {
                    'a': assignment.Demand(900.0),
                    'b': assignment.Demand(600.0),
                },
            )
            moves = orders.plan_loads(engines, named, assigned, ())
            for one in moves:
                one.state.version_by_model[one.model] = one.version
            loads += len(moves)
    assert loads == 6 * 5


def test_lost_engines_are_replaced_by_others():
    engines = [make_state(f'e{one}', a=3, b=1) for one in range(2)]
    assigned = assignment.assign_engines(engines, {'a': 3, 'b': 3}, {})
    assert {len(some) for some in assigned.values()} == {1}


@given(
    st.integers(1, 20),
    st.dictionaries(st.sampled_from('abcd'), st.floats(0, 1e6), min_size=1),
)
def test_every_model_has_an_engine_and_every_engine_a_model(count, demand):
    engines = [
        make_state(f'e{one}', **dict.fromkeys(demand, 1))
        for one in range(count)
    ]
    named = dict.fromkeys(demand, 2)
    assigned = assignment.assign_engines(
        engines,
        named,
        {model: assignment.Demand(some) for model, some in demand.items()},
    )
    assert all(assigned.values())
    ids = set().union(*assigned.values())
    assert ids == {one.endpoint.id for one in engines}


def serve_versions(engines, demand, rounds):
    """Load named versions; return the fewest engines that serve a model."""
    fewest = len(engines)
    for version in range(2, 2 + rounds):
        named = dict.fromkeys(demand, version)
        for model in demand:
            usable = [
                one for one in engines if version - one.get_version(model) <= 1
            ]
            fewest = min(fewest, len(usable))
        for _ in range(6):
            assigned = assignment.assign_engines(engines, named, demand)
            for one in orders.plan_loads(engines, named, assigned, ()):
                one.state.version_by_model[one.model] = one.version
    return fewest


def test_versions_take_turns_on_busy_engines():
    # Three trainers name versions in step while all engines are busy.
    engines = [make_state(f'e{one}', a=1, b=1, c=1) for one in range(18)]
    for one in engines:
        one.in_flight = 6
    demand = {model: assignment.Demand(100.0, 1) for model in 'abc'}
    assert serve_versions(engines, demand, 2) >= 6
    for version in range(4, 9):
        named = dict.fromkeys(demand, version)
        for _ in range(6):
            assigned = assignment.assign_engines(engines, named, demand)
            moves = orders.plan_loads(engines, named, assigned, ())
            for one in moves:
                lag = one.version - one.state.get_version(one.model)
                assert lag > 1, 'weights that still serve were replaced'
                one.state.version_by_model[one.model] = one.version
        for model in demand:
            serving = [
                one for one in engines if version - one.get_version(model) <= 1
            ]
            assert len(serving) == 12


def test_busy_engine_keeps_weights_that_serve_and_an_idle_one_loads():
    engines = [make_state(f'e{one}', a=1) for one in range(4)]
    for one in engines[:3]:
        one.in_flight = 1
    demand = {'a': assignment.Demand(1.0, 1)}
    assigned = assignment.assign_engines(engines, {'a': 2}, demand)
    assert 'e3' in assigned['a']
    assert len(assigned['a']) == 2
    engines[1].in_flight = 0
    assigned = assignment.assign_engines(engines, {'a': 2}, demand)
    assert {'e1', 'e3'} <= assigned['a']


def test_engine_that_loads_counts_as_holding_the_version():
    engines = [make_state(f'e{one}', a=1, b=1) for one in range(2)]
    demand = {model: assignment.Demand(1.0) for model in 'ab'}
    loads = [assignment.PendingLoad('e1', 'a', 2)]
    assigned = assignment.assign_engines(
        engines, {'a': 2, 'b': 2}, demand, loads
    )
    assert assigned == {'a': {'e1'}, 'b': {'e0'}}
