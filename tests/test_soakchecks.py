"""Test the checks of the soak on orders."""

import json
import random

import pytest

from soak import checks
from soak import clients
from soak import disturbance
from soak import workspaces


def check_order(status, ran, is_cut=False):
    failures = []
    callers = clients.Clients(
        {}, 'host', 'model', random.Random(1), failures.append, None
    )
    callers.status_by_order['order-1'] = status
    if is_cut:
        callers.cut_orders.append('order-1')
    records = {'desk-0': {'ran': ran}, 'events': {}}
    checks.check_orders(callers, records, failures.append)
    return failures


@pytest.mark.parametrize(
    ('status', 'ran', 'is_cut'),
    [
        (0, ['order-1'], True),
        (503, ['order-1'], False),
        (200, ['order-1', 'order-1'], False),
    ],
)
def test_order_that_ran_against_a_promise_is_a_failure(status, ran, is_cut):
    assert len(check_order(status, ran, is_cut)) == 1


# It crossed the close of its connection.
def test_order_that_was_cut_and_did_not_run_is_no_failure():
    assert check_order(0, [], is_cut=True) == []


def check_configuration(tmp_path, taken_at_s, disturbances=()):
    """Check an instance that had version 2, acknowledged at 10 s, then.

    The version counts as judged only if it was due while all was calm.
    """
    lines = [
        {'event': 'started', 'time': make_time(1)},
        {'event': 'configuration-in-force', 'time': make_time(1.5)},
        {'event': 'configuration-in-force', 'time': make_time(taken_at_s)},
        {'event': 'request-ended', 'time': make_time(30)},
    ]
    lines[1]['version'] = 1
    lines[2]['version'] = 2
    path = tmp_path / 'entry-0.log'
    path.write_text('\n'.join(json.dumps(line) for line in lines))
    failures = []
    judged = checks.check_configurations(
        [path], {2: 10.0}, list(disturbances), failures.append
    )
    is_disturbed = any(
        entry.name in (None, 'entry-0') for entry in disturbances
    )
    assert judged == (0 if is_disturbed else 1)
    return failures


def make_time(at_s):
    return f'1970-01-01T00:00:{at_s:06.3f}+00:00'


def test_version_that_a_calm_instance_has_late_is_a_failure(tmp_path):
    assert check_configuration(tmp_path, 11.9) == []
    assert len(check_configuration(tmp_path, 12.2)) == 1


# It counts again once it was calm for 3 s.
@pytest.mark.parametrize(
    ('name', 'taken_at_s', 'failures'),
    [
        ('entry-0', 14.9, 0),
        (None, 14.9, 0),
        ('entry-0', 15.2, 1),
        ('entry-1', 12.2, 1),
    ],
)
def test_version_may_be_late_while_the_instance_is_disturbed(
    tmp_path, name, taken_at_s, failures
):
    disturbed = disturbance.Disturbance(name, 11.0, 12.0)
    found = check_configuration(tmp_path, taken_at_s, [disturbed])
    assert len(found) == failures


def check_received(request_id, names, has_key=False):
    failures = []
    record = {'received': [[request_id, names, has_key]]}
    assert workspaces.check_received({'e': record}, failures.append) == 1
    return failures


# The soak would pass whatever endpoints got.
def test_wrong_workspace_and_key_at_an_endpoint_are_failures():
    right = workspaces.find_workspace('order-7')
    assert check_received('order-7', [right]) == []
    assert check_received('order-7', [right], has_key=True)
    assert check_received('order-7', [])
    assert check_received('order-7', ['green'])
    assert check_received('order-7', [right, right])
    assert check_received('job-1-score-0-1', [right])
    assert check_received('job-1-score-0-1', []) == []
    assert check_received('stolen-3', [])
    assert check_received('removed-red-3', ['red'])
    assert check_received('moved-red-3', ['blue'])


def test_reports_that_are_left_out_and_violations_fail():
    failures = []
    checks.check_duties(
        {'violations': ['two holders'], 'windows': [3, 4, 6]}, failures.append
    )
    checks.check_duties({'violations': [], 'windows': []}, failures.append)
    assert failures == [
        'two holders',
        'the report of window 5 was left out',
        'no window of usage was reported',
    ]
