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
                engines, named, {'a': 900.0, 'b': 600.0}
            )
            moves = orders.choose_to_order(engines, named, assigned, ())
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
    assigned = assignment.assign_engines(engines, named, demand)
    assert all(assigned.values())
    ids = set().union(*assigned.values())
    assert ids == {one.endpoint.id for one in engines}
