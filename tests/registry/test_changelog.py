"""Test how many lines the changes of many endpoints cost."""

import collections

from pomelopass.registry import changelog
from pomelopass.registry import endpoint as endpoints

ENGINES = 3000
# The largest fleets in use have 32 endpoints.
USUAL = 40


def make_entry(number):
    return endpoints.Endpoint(
        *(f'e{number}', 'engines', '10.0.0.1:1', 'north', 8, False),
        *({'m': 1}, 1),
    )


def record_all(changes, count, change):
    for number in range(count):
        changes.record(make_entry(number), change)


# Each start of 300 instances logged 3,000 lines, and so did each version.
def test_changes_of_thousands_of_endpoints_are_counted():
    events = []
    changes = changelog.ChangeLog(events.append)
    record_all(changes, ENGINES, 'found')
    changes.refill()
    record_all(changes, ENGINES, 'version')
    changes.refill()
    changes.refill()
    assert len(events) <= 2 * changelog.MAX_LINES
    logged = collections.Counter()
    for event in events:
        if event.kind == 'endpoint-changed':
            logged[event.change] += 1
        else:
            logged.update(event.counts)
    assert logged == {'found': ENGINES, 'version': ENGINES}


# Explanations and audits of days rely on these lines.
def test_changes_that_end_or_restart_an_endpoint_are_all_logged():
    events = []
    changes = changelog.ChangeLog(events.append)
    record_all(changes, ENGINES, 'found')
    for change in ('draining', 'leaving', 'gone', 'restarted', 'ready'):
        events.clear()
        record_all(changes, ENGINES, change)
        assert len(events) == ENGINES


def test_each_change_of_a_usual_fleet_is_logged():
    events = []
    changes = changelog.ChangeLog(events.append)
    for change in ('found', *(['version'] * 10)):
        record_all(changes, USUAL, change)
        # Versions follow each other after seconds.
        for _ in range(10):
            changes.refill()
    assert len(events) == 11 * USUAL
