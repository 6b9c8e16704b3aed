"""Test the search for requests that were sent with a key after its end."""

from pomelopass.reporting import keyaudit
from pomelopass.reporting import savedlogs
from tests import workspacebuilders as builders


def make_line(at_s, event, instance='entry-0', **fields):
    time = f'2026-01-01T00:00:{at_s:06.3f}+00:00'
    return savedlogs.LogLine(time, instance, event, fields, at_s * 1000)


def make_end(at_s, granted_at_s, granted_by, instance='entry-0', **fields):
    values = {
        'id': f'r{at_s}',
        'workspace': 'red',
        'endpoints': ['e0'],
        'took_ms': 500.0,
        'granted_by': granted_by,
        'granted_ms': (granted_at_s - at_s) * 1000 + 500.0,
        **fields,
    }
    return make_line(at_s, 'request-ended', instance, **values)


def find(*lines):
    return [use.id for use in keyaudit.find_uses_of_ended_keys(lines)]


ENDED = make_line(2.0, 'keys-ended', version=5, workspaces=['red'])


def test_request_that_an_older_version_granted_is_found():
    assert find(ENDED, make_end(3.0, 2.9, 4)) == ['r3.0']


def test_request_that_was_sent_before_or_by_the_new_version_is_not():
    assert find(ENDED, make_end(3.0, 1.9, 4), make_end(3.1, 2.9, 5)) == []


def test_other_workspaces_instances_and_starts_are_not_found():
    other = make_end(3.0, 2.9, 4, workspace='blue')
    elsewhere = make_end(3.0, 2.9, 4, 'entry-1')
    unsent = make_end(3.0, 2.9, 4, endpoints=[])
    started = make_line(2.5, 'started')
    after_start = make_end(3.0, 2.9, 4)
    assert find(ENDED, other, elsewhere, unsent) == []
    assert find(ENDED, started, after_start) == []


# The fields of real lines are the ones that the audit reads.
def test_lines_of_instances_name_the_version_that_granted_the_key():
    async def scenario(cluster):
        ingress = cluster.entry_by_name['entry-0'].node.ingress
        await ingress.handle(builders.make_request('red-key-1'))
        await builders.put(cluster, 3, {'red': ['red-key-2'], 'blue': []})
        await ingress.handle(builders.make_request('red-key-2'))
        ended = cluster.get_events('keys-ended')
        assert len(ended) == len(cluster.entry_by_name)
        assert ended[0]['version'] == 3
        assert ended[0]['workspaces'] == ['blue', 'red']
        lines = cluster.get_events('request-ended')
        assert [line['granted_by'] for line in lines] == [2, 3]
        assert all(line['workspace'] == 'red' for line in lines)
        assert all(0 <= line['granted_ms'] < line['took_ms'] for line in lines)

    builders.run(scenario)
