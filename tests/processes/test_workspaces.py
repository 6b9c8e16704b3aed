"""Test workspaces and their keys on instances as processes."""

import http.client
import json
import time

import pytest

from scripts import entrycalls
from scripts import entryfleet
from tests import entrybuilders
from tests import workspacebuilders as builders

NAMES = ('entry-0', 'entry-1')
# Bound of the users for a change of the configuration.
APPLY_S = 2.0


@pytest.fixture
def running_fleet(tmp_path):
    with entryfleet.EntryFleet(tmp_path, entrycalls.ZONES) as fleet:
        fleet.start_platform()
        fleet.put_row('op', 'config', builders.make_configuration())
        for name in NAMES:
            fleet.start_entry(name, log_level='DEBUG')
        fleet.wait_ready()
        yield fleet


def call(fleet, name, request_id, key, method='POST', target='/scores/1'):
    headers = {
        **entrycalls.HOST,
        'Attempt-Id': request_id,
        'AUTHORIZATION': f'Bearer {key}',
        'TENANT': 'blue',
    }
    body = {}
    if target == '/jobs/submit':
        body = entrybuilders.make_job_body(
            entrybuilders.make_submission(request_id, 2, 2)
        )
    connection = http.client.HTTPConnection(
        fleet.get_address(name), timeout=10
    )
    connection.request(method, target, json.dumps(body), headers)
    reply = connection.getresponse()
    content = reply.read()
    connection.close()
    return reply.status, content


def decide(fleet, name, request_id, key):
    """Return the status once the instance is sure of its configuration."""
    for number in range(20):
        status = call(fleet, name, f'{request_id}-{number}', key)[0]
        if status != 503:
            break
        time.sleep(0.2)
    return status


def read_all(fleet, key):
    results = []
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline:
        target = f'/-/lots/job-1?after={len(results)}'
        status, body = call(fleet, NAMES[1], 'read', key, 'GET', target)
        if status == 200:
            page = json.loads(body)
            results += page['results']
            if len(results) == page['total']:
                break
        time.sleep(0.1)
    return results


def test_keys_are_checked_and_never_passed_on_by_processes(running_fleet):
    assert decide(running_fleet, NAMES[0], 'r1', 'red-key-1') == 200
    assert decide(running_fleet, NAMES[1], 'r2', 'unknown-key') == 401
    submitted = call(
        running_fleet, NAMES[0], 'job-1', 'red-key-1', target='/jobs/submit'
    )
    assert submitted[0] == 202
    configuration = builders.make_configuration(3, {'red': ['later-key']})
    running_fleet.put_row('op', 'config', configuration)
    time.sleep(APPLY_S)
    for name in NAMES:
        assert decide(running_fleet, name, 'r3', 'red-key-1') == 401
        assert decide(running_fleet, name, 'r4', 'later-key') == 200
    assert len(read_all(running_fleet, 'later-key')) == 4
    seen = running_fleet.get_endpoint_records()
    seen.pop('events')
    received = [
        request for record in seen.values() for request in record['received']
    ]
    assert {'r1', 'r4'} <= {request[0].split('-')[0] for request in received}
    for request_id, workspaces, has_key in received:
        assert not has_key
        assert workspaces == ([] if '-score-' in request_id else ['red'])
    for name in NAMES:
        text = (running_fleet.folder / f'{name}.log').read_text()
        assert 'keys-ended' in text
        assert not any(
            key in text for key in ('red-key', 'later-key', 'unknown-key')
        )
