"""Test that no endpoint's bytes fill the memory of an instance."""

import concurrent.futures
import http.client
import pathlib
import re
import threading

import pytest

from scripts import entrycalls
from scripts import entryfleet
from scripts import probe
from tests import entrybuilders

# The smallest machine that runs an instance.
MEMORY_LIMIT_MB = 200
REQUESTS = 64
TIMEOUT_S = 6.0


@pytest.fixture
def running_fleet(tmp_path):
    with entryfleet.EntryFleet(tmp_path, entrycalls.ZONES) as fleet:
        entrycalls.start_fleet(fleet)
        yield fleet


def get_peak_mb(fleet):
    """Return the peak memory of the instance with the largest."""
    peaks = []
    for popen in fleet.popen_by_name.values():
        assert popen.poll() is None, 'an instance ended'
        status = pathlib.Path(f'/proc/{popen.pid}/status').read_text()
        peaks.append(int(re.search(r'VmHWM:\s*(\d+)', status)[1]) / 1000)
    return max(peaks)


def change_endpoint(fleet, name, **changes):
    body = {'id': name, **changes}
    assert probe.call(fleet.platform.address, 'POST', '/endpoint', body)[0]


def send_score(fleet, name, request_id):
    """Return the status of the answer to a plain request, 0 for none."""
    connection = http.client.HTTPConnection(
        fleet.get_address(name), timeout=TIMEOUT_S
    )
    headers = {'Attempt-Id': request_id, 'Deadline-Ms': '1500'}
    try:
        connection.request(
            'POST', '/scores/1', b'{}', {**entrycalls.HOST, **headers}
        )
        answer = connection.getresponse()
        answer.read()
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()
    return answer.status


# The texts of a job were bounded by the number of their events only.
def test_texts_without_an_end_leave_the_instance_its_memory(running_fleet):
    for name in ('engine-0', 'engine-1'):
        change_endpoint(running_fleet, name, endless='rising-events')
    submission = entrybuilders.make_submission(groups=6)
    assert entrycalls.submit(running_fleet, 'entry-0', submission) == 202
    done = threading.Event()
    statuses = []

    def send_others():
        while not done.wait(0.2):
            for name in running_fleet.settings_by_name:
                request_id = f'other-{len(statuses)}'
                statuses.append(send_score(running_fleet, name, request_id))

    with concurrent.futures.ThreadPoolExecutor() as pool:
        others = pool.submit(send_others)
        results = entrycalls.read_all(running_fleet, 'job-1', 40)
        done.set()
        others.result()
    print('PEAK', get_peak_mb(running_fleet))
    assert get_peak_mb(running_fleet) < MEMORY_LIMIT_MB
    assert set(statuses) == {200}
    seen = running_fleet.get_endpoint_records()
    assert entrycalls.find_errors(submission, results, seen) == []
    assert all(result['state'] == 'completed' for result in results)


# Each body was bounded, but not all that one process keeps.
def test_bodies_without_an_end_leave_the_instance_its_memory(running_fleet):
    for name in ('desk-0', 'desk-1'):
        change_endpoint(running_fleet, name, endless='fast-body')
    with concurrent.futures.ThreadPoolExecutor(REQUESTS) as pool:
        statuses = set(
            pool.map(
                lambda number: send_score(
                    running_fleet, 'entry-0', f'r-{number}'
                ),
                range(REQUESTS),
            )
        )
    # They fail by themselves.
    assert statuses <= {502, 503, 504}
    print('PEAK', get_peak_mb(running_fleet))
    assert get_peak_mb(running_fleet) < MEMORY_LIMIT_MB
    change_endpoint(running_fleet, 'desk-1', endless=None)
    ids = iter(range(1000))
    probe.wait_for(
        lambda: (
            send_score(running_fleet, 'entry-0', f'later-{next(ids)}') == 200
        )
    )
