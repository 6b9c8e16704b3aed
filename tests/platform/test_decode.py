"""Test the decoders of the platform's rows and requests."""

import base64
import json

from hypothesis import given
from hypothesis import strategies as st
import pytest
from returns import pipeline

from pomelopass import message
from pomelopass.platform import configdecode
from pomelopass.platform import endpointdecode
from pomelopass.platform import jobdecode
from pomelopass.requests import routes
from tests import entrybuilders

ENTRY = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'north',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'seq': 3,
    'born': 1,
    'models': [{'name': 'm', 'version': 4, 'adapters': []}],
}


def decode_job(body):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = message.Request('POST', '/jobs/x', (), data)
    return jobdecode.decode_submission('j', 'h', request)


def make_body(**changes):
    body = entrybuilders.make_job_body(entrybuilders.make_submission())
    body['items'][0].update(changes)
    return body


def test_job_is_decoded_with_its_bytes():
    submission = entrybuilders.make_submission()
    decoded = decode_job(entrybuilders.make_job_body(submission)).unwrap()
    assert [item.id for item in decoded.items] == [
        item.id for item in submission.items
    ]
    assert decoded.items[0].body == submission.items[0].body
    assert decoded.items[0].reward == submission.items[0].reward
    assert decoded.min_version == submission.min_version


@pytest.mark.parametrize(
    ('body', 'message_part'),
    [
        (b'', 'EOF'),
        (b'{"items": [', 'EOF'),
        ({'items': []}, 'items'),
        ({}, 'items'),
        (make_body(body='not base64!'), 'base64'),
        (make_body(id=''), 'id'),
        (make_body(id=make_body()['items'][1]['id']), 'twice'),
        (make_body(scorer={'id': 's'}), 'scorer'),
    ],
)
def test_invalid_jobs_are_refused_with_the_place(body, message_part):
    decoded = decode_job(body)
    assert not pipeline.is_successful(decoded)
    assert message_part in decoded.failure()


def test_unknown_fields_of_a_job_are_ignored():
    body = make_body(new_field=1)
    body['another'] = [1]
    assert pipeline.is_successful(decode_job(body))


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'odd'},
        {'slots': 'eight'},
        {'address': 'nowhere'},
        {'service': None},
        {'models': 3},
    ],
)
def test_malformed_entries_are_not_decoded(changes):
    value = json.dumps({**ENTRY, **changes}).encode()
    decoded = endpointdecode.decode_endpoint('i', value)
    assert not pipeline.is_successful(decoded)


def test_entry_is_decoded():
    value = json.dumps(ENTRY).encode()
    endpoint = endpointdecode.decode_endpoint('i', value).unwrap()
    assert endpoint.version_by_model == {'m': 4}
    assert not endpoint.is_draining


@given(st.binary(max_size=60))
def test_decoders_never_raise(data):
    endpointdecode.decode_endpoint('i', data)
    configdecode.decode_configuration(data)
    decode_job(data)
    decode_job({'items': [{'id': base64.b64encode(data).decode()}]})


def test_configuration_is_decoded():
    value = json.dumps(entrybuilders.make_configuration(7)).encode()
    configuration = configdecode.decode_configuration(value).unwrap()
    assert configuration.version == 7
    route = routes.find_route(configuration, entrybuilders.HOST, '/jobs/1')
    assert route.route_type is routes.RouteType.JOBS
    assert route.item_ttl_ms == 40_000
    route = routes.find_route(configuration, entrybuilders.HOST, '/orders/1')
    assert route.route_type is routes.RouteType.NON_IDEMPOTENT
