"""Test entry instances as processes against the platform stand-in."""

import json
import signal
import socket
import subprocess
import sys

import pytest

from scripts import entrycalls
from scripts import entryfleet
from scripts import probe
from tests import entrybuilders


@pytest.fixture
def running(tmp_path):
    with entryfleet.EntryFleet(tmp_path, entrycalls.ZONES) as fleet:
        entrycalls.start_fleet(fleet)
        yield fleet


def send(fleet, name, path, request_id, **headers):
    return probe.call(
        fleet.get_address(name),
        'POST',
        path,
        {},
        {**entrycalls.HOST, 'Attempt-Id': request_id, **headers},
    )


def test_job_survives_a_kill_and_a_planned_stop(running):
    submission = entrybuilders.make_submission(groups=6)
    assert entrycalls.submit(running, 'entry-0', submission) == 202
    running.signal('entry-1', signal.SIGKILL)
    assert entrycalls.submit(running, 'entry-2', submission) == 202
    running.signal('entry-2', signal.SIGTERM)
    running.popen_by_name['entry-1'].wait()
    running.start_entry('entry-1')
    results = entrycalls.read_all(running, 'job-1')
    seen = running.get_endpoint_records()
    assert entrycalls.find_errors(submission, results, seen) == []
    assert running.popen_by_name['entry-2'].wait(10) == 0
    again = entrycalls.read_all(running, 'job-1')
    assert again == results


def test_directory_names_instances_and_forgets_one_that_stops(running):
    address = running.get_address('entry-0', 'directory_address')
    target = '/-/resolve?name=x&zone=north'

    def get_addresses():
        return probe.call(address, 'GET', target)[1].get('addresses', [])

    probe.wait_for(lambda: len(get_addresses()) == 3)
    running.signal('entry-2', signal.SIGTERM)
    gone = running.get_address('entry-2')
    probe.wait_for(lambda: gone not in get_addresses())
    ready = running.get_address('entry-2', 'readiness_address')
    assert probe.call(ready, 'GET', '/-/readiness')[0] in (0, 503)


def test_named_version_reaches_every_engine(running):
    named = {'model': entrybuilders.MODEL, 'version': 2}
    running.put_row('op', f'version/{entrybuilders.MODEL}', named)

    def is_loaded():
        return all(
            one['versions'] == {entrybuilders.MODEL: 2}
            for name, one in running.get_endpoint_records().items()
            if name.startswith('engine')
        )

    probe.wait_for(is_loaded)
    orders = [
        order
        for name, one in running.get_endpoint_records().items()
        if name.startswith('engine')
        for order in one['orders']
    ]
    assert len(orders) == 3
    assert len({(holder, fence) for _, holder, fence in orders}) == 1


def test_configuration_comes_into_force_and_unknown_paths_are_refused(running):
    assert send(running, 'entry-0', '/scores/1', 'a1')[0] in (0, 200)
    assert send(running, 'entry-0', '/nowhere/', 'a2')[0] == 404
    changed = entrybuilders.make_configuration(version=2)
    changed['routes'][1]['path_prefix'] = '/nowhere/'
    running.put_row('op', 'config', changed)
    probe.wait_for(
        lambda: send(running, 'entry-0', '/scores/1', 'a3')[0] == 404
    )


def test_instance_that_the_table_refuses_works_through_peers(tmp_path):
    with entryfleet.EntryFleet(tmp_path, entrycalls.ZONES) as fleet:
        fleet.start_platform()
        fleet.put_row('op', 'config', entrybuilders.make_configuration())
        fleet.start_entry('entry-0')
        fleet.start_entry('entry-1')
        # Nothing listens there: every call of this instance fails.
        nowhere = f'127.0.0.1:{fleet.reserved_ports.reserve(1)[0]}'
        fleet.start_entry('entry-2', table_address=nowhere)
        fleet.wait_ready()
        submission = entrybuilders.make_submission()
        assert entrycalls.submit(fleet, 'entry-2', submission) == 202
        results = entrycalls.read_all(fleet, 'job-1')
        seen = fleet.get_endpoint_records()
        assert entrycalls.find_errors(submission, results, seen) == []


def test_address_in_use_ends_the_instance_with_a_status(tmp_path):
    with entryfleet.EntryFleet(tmp_path, entrycalls.ZONES) as fleet:
        fleet.start_platform()
        fleet.start_entry('entry-0')
        ready = fleet.get_address('entry-0', 'readiness_address')
        probe.wait_for(lambda: probe.call(ready, 'GET', '/-/readiness')[0])
        taken = fleet.get_address('entry-0')
        fleet.start_entry('entry-1', caller_address=taken)
        assert fleet.popen_by_name['entry-1'].wait(20) == 3
        log = (tmp_path / 'entry-1.log').read_text()
        assert json.loads(log.splitlines()[-1])['event'] == 'listen-failed'
        assert 'Traceback' not in log


def exchange(fleet, data):
    host, _, port = fleet.get_address('entry-0').rpartition(':')
    with socket.create_connection((host, int(port)), 10) as one:
        one.settimeout(10)
        one.sendall(data)
        parts = []
        while part := one.recv(65_536):
            parts.append(part)
        return b''.join(parts)


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (
            b'POST /scores/1 HTTP/1.1\r\nHost: trainer.test\r\n'
            b'Attempt-Id: s1\r\nContent-Length: 5\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
            b'POST /scores/1 HTTP/1.1\r\nHost: trainer.test\r\n'
            b'Attempt-Id: smuggled\r\nContent-Length: 0\r\n\r\n',
            b'400',
        ),
        (
            b'POST /scores/1 HTTP/1.1\nHost: trainer.test\n'
            b'Attempt-Id: s2\nContent-Length: 0\n\n',
            b'400',
        ),
        (b'POST /scores/1 HTTP/1.1\r\nHost: trainer.test\r\n', b'408'),
        (
            b'GET /x HTTP/1.1\r\nHost: a\r\nX: ' + b'y' * 20_000 + b'\r\n\r\n',
            b'431',
        ),
        (
            b'POST /scores/1 HTTP/1.1\r\nHost: trainer.test\r\n'
            b'Attempt-Id: s3\r\nContent-Length: 99999999\r\n\r\n',
            b'413',
        ),
    ],
)
def test_bad_requests_are_refused_and_closed(running, data, status):
    answer = exchange(running, data)
    assert answer.startswith(b'HTTP/1.1 ' + status), answer[:100]
    assert answer.count(b'HTTP/1.1') == 1
    ran = [
        request_id
        for name, one in running.get_endpoint_records().items()
        if name.startswith('desk')
        for request_id in one['ran']
    ]
    assert not {'s1', 's2', 's3', 'smuggled'} & set(ran)


def test_close_of_a_caller_ends_the_work_at_the_endpoint(running):
    assert count_open(running) == 0
    for number in range(2):
        changes = {'id': f'desk-{number}', 'slowness': 2000}
        probe.call(running.platform.address, 'POST', '/endpoint', changes)
    host, _, port = running.get_address('entry-0').rpartition(':')
    with socket.create_connection((host, int(port)), 10) as one:
        one.sendall(
            b'POST /orders/1 HTTP/1.1\r\nHost: trainer.test\r\n'
            b'Attempt-Id: left\r\nContent-Length: 0\r\n\r\n'
        )
        probe.wait_for(lambda: count_open(running) == 1)
    probe.wait_for(lambda: count_open(running) == 0)


def count_open(fleet):
    return sum(
        one['running']
        for name, one in fleet.get_endpoint_records().items()
        if name.startswith('desk')
    )


@pytest.mark.parametrize(
    'text', ['', '{', '{"name": "a"}', '[]', '{"name": "a", "nme": 1}']
)
def test_bad_settings_are_told_in_full(tmp_path, text):
    path = tmp_path / 'settings.jsonc'
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, '-m', 'pomelopass.entry', '--settings', str(path)],
        cwd=entryfleet.ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr
    assert 'Traceback' not in done.stderr
