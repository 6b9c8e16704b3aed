"""Test that the endpoints of each service are those of all endpoints."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.registry import endpoint as endpoints
from pomelopass.registry import registry as registries

IDS = st.sampled_from(['e0', 'e1', 'e2'])
SERVICES = st.sampled_from(['engines', 'desk'])
ENTRIES = st.builds(
    endpoints.Endpoint,
    id=IDS,
    service=SERVICES,
    address=st.just('10.0.0.1:1'),
    availability_zone=st.just('north'),
    slots=st.just(8),
    is_draining=st.booleans(),
    version_by_model=st.sampled_from([{}, {'m': 1}]),
    started_at_ms=st.integers(1, 2),
    software=st.sampled_from(['1.0', '1.1']),
)
COUNTS = st.dictionaries(IDS, st.integers(1, 3))


# An endpoint that its service has lost gets no work, one that it keeps gets
# requests that it can't answer.
@given(st.lists(st.one_of(ENTRIES, st.tuples(IDS, st.booleans())), max_size=9))
def test_services_have_the_endpoints_that_are_registered(changes):
    registry = registries.Registry(lambda event: None)
    for change in changes:
        if isinstance(change, endpoints.Endpoint):
            registry.put(change)
        else:
            registry.remove(change[0], 10.0, change[1])
            registry.drop_missing(0.0, 20.0)
        states = registry.state_by_id.values()
        for service in ('engines', 'desk'):
            found = registry.get_all_by_service(service)
            assert sorted(map(id, found)) == sorted(
                id(state)
                for state in states
                if state.endpoint.service == service
            )
            assert registry.count_software(service) == collections.Counter(
                state.endpoint.software for state in found
            )
        assert registry.get_engine_services() == {
            state.endpoint.service
            for state in states
            if state.endpoint.version_by_model
        }


# A slot that another instance uses would be used twice.
@given(st.lists(st.one_of(ENTRIES, COUNTS), max_size=9))
def test_endpoints_have_the_runs_that_were_reported_last(changes):
    registry = registries.Registry(lambda event: None)
    counts = {}
    for change in changes:
        if isinstance(change, endpoints.Endpoint):
            registry.put(change)
        else:
            counts = dict(change)
            registry.set_runs_elsewhere(change)
        for endpoint_id, state in registry.state_by_id.items():
            assert state.in_flight_elsewhere == counts.get(endpoint_id, 0)
