"""Test the assignment of engines to models."""

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.registry import endpoint
from pomelopass.versions import assignment
from pomelopass.versions import orders


def make_state(name: str, **version_by_model: int) -> endpoint.EndpointState:
    entry = endpoint.Endpoint(
        name, 'engines', '10.0.0.1:1', 'north', 8, False, version_by_model, 1
    )
    return endpoint.EndpointState(
        entry, version_by_model=dict(version_by_model)
    )


def test_each_model_loads_versions_on_its_own_share_of_engines():
    engines = [make_state(f'e{number}', a=1, b=1) for number in range(5)]
    load_count = 0
    for version in range(2, 8):
        target_version_by_model = {'a': version, 'b': version}
        for _ in range(6):
            assigned_by_model = assignment.assign_engines(
                engines,
                target_version_by_model,
                {
                    'a': assignment.Demand(900.0),
                    'b': assignment.Demand(600.0),
                },
            )
            planned_loads = orders.plan_loads(
                engines, target_version_by_model, assigned_by_model, ()
            )
            for planned_load in planned_loads:
                planned_load.state.version_by_model[planned_load.model] = (
                    planned_load.version
                )
            load_count += len(planned_loads)
    assert load_count == 6 * 5


def test_every_model_keeps_an_engine_when_few_are_left():
    engines = [make_state(f'e{number}', a=3, b=1) for number in range(2)]
    assigned_by_model = assignment.assign_engines(
        engines, {'a': 3, 'b': 3}, {}
    )
    assert {len(engine_ids) for engine_ids in assigned_by_model.values()} == {
        1
    }


@given(
    st.integers(1, 20),
    st.dictionaries(st.sampled_from('abcd'), st.floats(0, 1e6), min_size=1),
)
def test_every_model_has_an_engine_and_every_engine_a_model(count, demand):
    engines = [
        make_state(f'e{number}', **dict.fromkeys(demand, 1))
        for number in range(count)
    ]
    target_version_by_model = dict.fromkeys(demand, 2)
    assigned_by_model = assignment.assign_engines(
        engines,
        target_version_by_model,
        {model: assignment.Demand(tokens) for model, tokens in demand.items()},
    )
    assert all(assigned_by_model.values())
    ids = set().union(*assigned_by_model.values())
    assert ids == {engine.endpoint.id for engine in engines}


def serve_versions(engines, demand, rounds):
    """Load new versions; return the fewest engines that serve a model."""
    min_serving = len(engines)
    for version in range(2, 2 + rounds):
        target_version_by_model = dict.fromkeys(demand, version)
        for model in demand:
            serving = [
                engine
                for engine in engines
                if version - engine.get_version(model) <= 1
            ]
            min_serving = min(min_serving, len(serving))
        for _ in range(6):
            assigned_by_model = assignment.assign_engines(
                engines, target_version_by_model, demand
            )
            for planned_load in orders.plan_loads(
                engines, target_version_by_model, assigned_by_model, ()
            ):
                planned_load.state.version_by_model[planned_load.model] = (
                    planned_load.version
                )
    return min_serving


def test_versions_take_turns_on_busy_engines():
    # Three trainers publish versions in step while all engines are busy.
    engines = [make_state(f'e{number}', a=1, b=1, c=1) for number in range(18)]
    for engine in engines:
        engine.in_flight = 6
    demand = {model: assignment.Demand(100.0, 1) for model in 'abc'}
    assert serve_versions(engines, demand, 2) >= 6
    for version in range(4, 9):
        target_version_by_model = dict.fromkeys(demand, version)
        for _ in range(6):
            assigned_by_model = assignment.assign_engines(
                engines, target_version_by_model, demand
            )
            planned_loads = orders.plan_loads(
                engines, target_version_by_model, assigned_by_model, ()
            )
            for planned_load in planned_loads:
                lag = planned_load.version - planned_load.state.get_version(
                    planned_load.model
                )
                assert lag > 1, 'weights that still serve were replaced'
                planned_load.state.version_by_model[planned_load.model] = (
                    planned_load.version
                )
        for model in demand:
            serving = [
                engine
                for engine in engines
                if version - engine.get_version(model) <= 1
            ]
            assert len(serving) == 12


def test_idle_engine_loads_before_busy_engines_that_serve():
    engines = [make_state(f'e{number}', a=1) for number in range(4)]
    for engine in engines[:3]:
        engine.in_flight = 1
    demand = {'a': assignment.Demand(1.0, 1)}
    assigned_by_model = assignment.assign_engines(engines, {'a': 2}, demand)
    assert 'e3' in assigned_by_model['a']
    assert len(assigned_by_model['a']) == 2
    engines[1].in_flight = 0
    assigned_by_model = assignment.assign_engines(engines, {'a': 2}, demand)
    assert {'e1', 'e3'} <= assigned_by_model['a']


def test_loading_engine_counts_as_holding_the_version():
    engines = [make_state(f'e{number}', a=1, b=1) for number in range(2)]
    demand = {model: assignment.Demand(1.0) for model in 'ab'}
    loads = [assignment.PendingLoad('e1', 'a', 2)]
    assigned_by_model = assignment.assign_engines(
        engines, {'a': 2, 'b': 2}, demand, loads
    )
    assert assigned_by_model == {'a': {'e1'}, 'b': {'e0'}}


def test_engine_that_leaves_is_assigned_to_no_model():
    engines = [make_state(f'e{number}', a=1) for number in range(3)]
    engines[0].said_leaving = True
    assigned_by_model = assignment.assign_engines(
        engines, {'a': 2}, {'a': assignment.Demand(900.0)}
    )
    assert assigned_by_model['a'] == {'e1', 'e2'}
