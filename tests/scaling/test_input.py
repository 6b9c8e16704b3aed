"""Test what the orders of engines are decided from."""

import orjson
import pytest

from pomelopass.platform import configdecode
from pomelopass.platform import endpointdecode
from pomelopass.registry import endpoint as endpoints
from pomelopass.scaling import observation
from pomelopass.scaling import plan
from tests import entrybuilders

SCALING = {'min': 1, 'max': 4, 'zone_prices': {'north': 1.0}}


def decode_scaling(scaling):
    value = entrybuilders.make_configuration()
    value['services'][0]['scaling'] = scaling
    configuration = configdecode.decode_configuration(orjson.dumps(value))
    return configuration.unwrap().service_by_name['engines'].scaling


def make_state(zone, **changes):
    entry = {
        'service': 'engines',
        'address': '10.0.0.1:80',
        'zone': zone,
        'slots': 8,
        'state': 'ready',
        **changes,
    }
    decoded = endpointdecode.decode_endpoint('engine-1', orjson.dumps(entry))
    return endpoints.EndpointState(decoded.unwrap())


def test_scaling_is_decoded_with_its_defaults():
    assert decode_scaling(SCALING) == plan.Scaling(
        1, 4, 4.0, 0.22, {'north': 1.0}
    )


# Bounds that are wrong must not refuse the routes of all services.
@pytest.mark.parametrize(
    'scaling', [None, 3, {'min': 1}, {'min': 5, 'max': 4}, {'max': 'many'}]
)
def test_service_without_valid_bounds_is_not_scaled(scaling):
    assert decode_scaling(scaling) is None


def test_entry_tells_whether_an_engine_is_spot_and_leaves():
    leaving = make_state('north', spot=True, state='draining', leaves_ms=900)
    assert leaving.endpoint.is_spot
    assert leaving.endpoint.leaves_ms == 900
    assert not make_state('north').endpoint.is_spot


# Engines that leave would hide that their zone needs others.
def test_engines_are_counted_by_zone_and_kind_without_leaving_ones():
    states = [
        make_state('north'),
        make_state('north', spot=True),
        make_state('south', spot=True, state='draining', leaves_ms=900),
    ]
    states[0].in_flight = 3
    states[2].in_flight_elsewhere = 5
    observed = observation.observe(states, ['north', 'south'], 4)
    assert observed.supply_by_zone == {
        'north': plan.ZoneSupply(1, 1),
        'south': plan.ZoneSupply(0, 0),
    }
    assert observed.demand == plan.Demand(wanted=1.0, committed=0.25)
