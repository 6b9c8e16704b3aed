"""Test which endpoints get work while their entries are missing."""

from pomelopass.registry import endpoint as endpoints
from pomelopass.registry import registry as registries


def make_registry(count):
    registry = registries.Registry(lambda event: None)
    for number in range(count):
        registry.put(
            endpoints.Endpoint(
                *(f'e{number}', 'engines', '10.0.0.1:1', 'north', 8, False),
                *({'m': 1}, 1),
            )
        )
    return registry


# Eight runs that broke off together kept an engine away for 4 s.
def test_requests_that_fail_together_count_as_one_failure():
    state = make_registry(1).state_by_id['e0']
    for _ in range(8):
        endpoints.record_failure(state, 10.0)
    assert not state.is_backing_off(10.31)
    endpoints.record_failure(state, 10.31)
    assert state.is_backing_off(10.9)
    assert not state.is_backing_off(10.92)


def get_ids(registry):
    return {state.endpoint.id for state in registry.get_by_service('engines')}


def test_endpoint_that_left_just_after_an_outage_gets_no_work():
    registry = make_registry(4)
    registry.remove('e0', 10.0, in_outage=True)
    assert get_ids(registry) == {'e1', 'e2', 'e3'}
    # Its entry may still come back.
    registry.put(registry.state_by_id['e0'].endpoint)
    assert get_ids(registry) == {'e0', 'e1', 'e2', 'e3'}


def test_endpoints_whose_entries_lapsed_together_still_get_work():
    registry = make_registry(4)
    for number in range(3):
        registry.remove(f'e{number}', 10.0, in_outage=True)
    assert get_ids(registry) == {'e0', 'e1', 'e2', 'e3'}
    registry.drop_missing(9.0, 13.0)
    assert get_ids(registry) == {'e3'}


def test_only_endpoint_of_a_service_still_gets_work_while_it_is_missing():
    registry = make_registry(1)
    registry.remove('e0', 10.0, in_outage=True)
    assert get_ids(registry) == {'e0'}
