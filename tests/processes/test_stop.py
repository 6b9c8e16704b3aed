"""Test planned stops under callers that stay until the process is gone."""

import http.client
import signal
import threading
import time

import pytest

from scripts import entrycalls
from scripts import entryfleet
from scripts import probe

# The endpoints need this long, so late requests would outlast the grace.
WORK_S = 2.0
DEADLINE_MS = '4000'
REQUEST_EVERY_S = 0.2
STAND_IN_WORK_S = 0.02


class StayingCallers:
    """Callers that send on new and on open connections until a stop ends."""

    def __init__(self, address, path):
        self.address = address
        self.path = path
        self.outcome_by_id = {}
        self.threads = []

    def send(self, request_id, connection=None):
        """Send one request; record its status, or how its connection ended."""
        connection = connection or http.client.HTTPConnection(
            self.address, timeout=15
        )
        headers = {
            **entrycalls.HOST,
            'Attempt-Id': request_id,
            'Deadline-Ms': DEADLINE_MS,
        }
        try:
            connection.request('POST', self.path, b'x', headers)
        except OSError:
            self.outcome_by_id[request_id] = 'not sent'
            return False
        try:
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            self.outcome_by_id[request_id] = 'cut'
            return False
        self.outcome_by_id[request_id] = response.status
        return not response.will_close

    def stay(self, name, is_gone):
        """Send on one connection after another until the process is gone."""
        number = 0
        connection = None
        while not is_gone():
            number += 1
            if connection is None:
                connection = http.client.HTTPConnection(
                    self.address, timeout=15
                )
            if not self.send(f'{name}-{number}', connection):
                connection.close()
                connection = None
            time.sleep(REQUEST_EVERY_S)

    def start(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments)
        thread.start()
        self.threads.append(thread)

    def run_until(self, is_gone):
        """Send from open and from new connections until it is gone."""
        for number in range(3):
            self.start(self.stay, f'stays-{number}', is_gone)
        count = 0
        while not is_gone():
            count += 1
            self.start(self.send, f'new-{count}')
            time.sleep(REQUEST_EVERY_S)
        for thread in self.threads:
            thread.join()


@pytest.mark.parametrize('path', ['/orders/1', '/scores/1'])
def test_no_request_that_was_passed_on_is_cut_by_a_planned_stop(
    tmp_path, path
):
    with entryfleet.EntryFleet(tmp_path, entrycalls.ZONES) as fleet:
        entrycalls.start_fleet(fleet, 1)
        for number in range(2):
            changes = {
                'id': f'desk-{number}',
                'slowness': WORK_S / STAND_IN_WORK_S,
                'slots': 200,
            }
            probe.call(fleet.platform.address, 'POST', '/endpoint', changes)
        popen = fleet.popen_by_name['entry-0']
        callers = StayingCallers(fleet.get_address('entry-0'), path)
        fleet.signal('entry-0', signal.SIGTERM)
        callers.run_until(lambda: popen.poll() is not None)
        assert popen.returncode == 0
        records = fleet.get_endpoint_records()
        ran = {
            request_id
            for name in ('desk-0', 'desk-1')
            for request_id in records[name]['ran']
        }
    outcomes = callers.outcome_by_id
    cut = {name for name, outcome in outcomes.items() if outcome == 'cut'}
    assert cut & ran == set()
    refused = {name for name, outcome in outcomes.items() if outcome == 503}
    assert refused & ran == set()
    # Late requests are refused while their callers can still go elsewhere.
    assert refused
    if path == '/orders/1':
        # Their callers may not send them again.
        assert {outcomes[request_id] for request_id in ran} == {200}
    assert 200 in outcomes.values() or path == '/scores/1'
