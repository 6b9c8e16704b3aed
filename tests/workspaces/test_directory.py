"""Test how workspaces and their keys are decoded and looked up."""

import orjson
import pytest

from pomelopass.platform import configdecode
from pomelopass.requests import call as calls
from pomelopass.requests import quarantine
from pomelopass.requests import routes
from pomelopass.workspaces import access
from pomelopass.workspaces import credentials
from pomelopass.workspaces import directory
from tests import entrybuilders


def decode(workspaces, **route_changes):
    value = entrybuilders.make_configuration(**route_changes)
    value['tenants'] = workspaces
    return configdecode.decode_configuration(orjson.dumps(value))


def test_keys_lead_to_their_workspace_and_its_priority():
    configuration = decode(
        [
            {'name': 'red', 'api_keys': ['r1', 'r2', 'r1'], 'priority': 0},
            {'name': 'blue', 'api_keys': ['b1']},
            {'name': 'without keys'},
        ],
        anonymous=True,
        priority=3,
    ).unwrap()
    find = configuration.workspaces.find
    assert find('r2') == directory.Workspace('red', 0)
    assert find('b1') == directory.Workspace('blue', None)
    assert find('R1') is find('') is None
    route = routes.find_route(configuration, entrybuilders.HOST, '/jobs/x')
    assert (route.is_anonymous, route.priority) == (True, 3)


# All routes and keys would stay those of the version before.
@pytest.mark.parametrize('priority', [None, 1.5, 'high', [], 2**63])
def test_odd_priority_is_none_and_refuses_no_configuration(priority):
    workspaces = [{'name': 'red', 'api_keys': ['r'], 'priority': priority}]
    configuration = decode(workspaces, priority=priority).unwrap()
    assert configuration.workspaces.find('r').priority is None
    route = routes.find_route(configuration, entrybuilders.HOST, '/jobs/x')
    assert route.priority is None


# Requests would be refused in deployments that have no workspaces.
def test_configuration_without_workspaces_checks_no_keys():
    configuration = decode(None).unwrap()
    assert configuration.workspaces is None
    granted = access.decide(configuration.workspaces, b'', False)
    assert granted == access.Access(False, True, '')


# Each key would open another workspace, or none.
@pytest.mark.parametrize(
    ('workspaces', 'place'),
    [
        (
            [
                {'name': 'red', 'api_keys': ['secret']},
                {'name': 'blue', 'api_keys': ['b', 'secret']},
            ],
            'tenants.1.api_keys.1',
        ),
        ([{'name': '', 'api_keys': []}], 'tenants.0.name'),
        ([{'name': 'a\nb', 'api_keys': []}], 'tenants.0.name'),
        ([{'name': 'red'}, {'name': 'red'}], 'tenants.1.name'),
        ([{'name': 'red', 'api_keys': ['']}], 'tenants.0.api_keys.0'),
        ([{'name': 'red', 'api_keys': ['x', {'secret': 1}]}], 'api_keys'),
        ({'secret': 1}, 'tenants'),
    ],
)
def test_invalid_workspaces_are_refused_with_the_place_and_no_key(
    workspaces, place
):
    failure = decode(workspaces).failure()
    assert place in failure
    assert 'secret' not in failure


def test_broken_row_is_refused_without_its_keys():
    value = orjson.dumps({'tenants': [{'api_keys': ['secret']}]})[:-3]
    failure = configdecode.decode_configuration(value).failure()
    assert 'secret' not in failure


@pytest.mark.parametrize(
    'values',
    [
        ['Bearer k'],
        ['bEARER   k '],
        ['Bearer k', 'bearer k'],
    ],
)
def test_key_is_read_whatever_the_case_of_its_scheme(values):
    digest = directory.make_digest(b'k')
    assert credentials.find_key_digest(values) == digest


@pytest.mark.parametrize(
    'values',
    [
        [],
        [''],
        ['Bearer'],
        ['Bearer '],
        ['k'],
        ['Basic k'],
        ['Bearerk'],
        ['Bearer k', 'Bearer l'],
        ['Basic k', 'Bearer k'],
    ],
)
def test_missing_malformed_and_differing_keys_are_none(values):
    assert credentials.find_key_digest(values) is None


def test_key_beyond_ascii_is_compared_as_utf_8():
    received = 'Bearer ключ'.encode().decode('latin-1')
    digest = credentials.find_key_digest([received])
    assert digest == directory.make_digest('ключ'.encode())


# One workspace could block the requests of another.
def test_content_is_quarantined_for_its_workspace_only():
    fingerprints = {
        quarantine.get_fingerprint(
            calls.Call('i', 'h', 'POST', '/', (), b'x', None, workspace=name)
        )
        for name in ('', 'red', 'blue')
    }
    assert len(fingerprints) == 3
