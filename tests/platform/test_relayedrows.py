"""Test that rows which peers relay hold digests in place of keys."""

import orjson
import pytest

from pomelopass.platform import configdecode
from pomelopass.platform import relayedrows
from tests import entrybuilders
from tests import workspacebuilders as builders


def decode(value):
    return configdecode.decode_configuration(value)


def test_relayed_configuration_decides_the_same_without_its_keys():
    value = orjson.dumps(builders.make_configuration())
    hidden = relayedrows.hide_keys(value)
    assert b'key-' not in hidden
    relayed, stored = decode(hidden).unwrap(), decode(value).unwrap()
    assert (
        relayed.workspaces.workspace_by_digest
        == stored.workspaces.workspace_by_digest
    )
    assert relayed.routes_by_host == stored.routes_by_host
    assert relayed.workspaces.find('red-key-2').name == 'red'
    # A peer that got it from a peer passes it on.
    again = decode(relayedrows.hide_keys(hidden)).unwrap()
    assert again.workspaces.find('blue-key-1').name == 'blue'


# Builds without workspaces compare and count these bytes.
def test_configuration_without_workspaces_is_relayed_as_it_is():
    value = orjson.dumps(entrybuilders.make_configuration()) + b' '
    assert relayedrows.hide_keys(value) == value


# A peer with a path to the table refuses it as well.
@pytest.mark.parametrize(
    'workspaces',
    [
        'secret',
        ['secret'],
        [{'name': 'red', 'api_keys': 'secret'}],
        [{'name': 'red', 'api_keys': [['secret']]}],
        [{'name': 'red', 'api_keys': ['']}],
        [{'name': '', 'api_keys': ['secret']}],
        [
            {'name': 'red', 'api_keys': ['secret']},
            {'name': 'blue', 'api_keys': ['secret']},
        ],
    ],
)
def test_configuration_that_is_refused_is_refused_when_relayed(workspaces):
    value = builders.make_configuration()
    value['tenants'] = workspaces
    stored = orjson.dumps(value)
    hidden = relayedrows.hide_keys(stored)
    assert b'secret' not in hidden
    assert decode(stored).value_or(None) is None
    assert decode(hidden).value_or(None) is None


@pytest.mark.parametrize('value', [b'{"tenants": ["secret"', b'["secret"]'])
def test_row_that_is_no_configuration_is_relayed_without_its_content(value):
    assert relayedrows.hide_keys(value) == b''
