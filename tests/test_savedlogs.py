"""Test what saved logs tell of an id."""

import json
import subprocess
import sys

from pomelopass.reporting import clockskew
from pomelopass.reporting import savedlogs
from scripts import fleet
from tests import test_cmdline


def make_line(time, instance, event, **fields):
    return json.dumps(
        {'time': time, 'instance': instance, 'event': event, **fields}
    )


FIRST = [
    make_line('2026-01-01T00:00:01.000Z', 'a', 'job-submitted', job='j1'),
    '  3.5 machine-1 '
    + make_line(
        '2026-01-01T00:00:03.000Z', 'a', 'item-run', job='j1', id='i1'
    ),
    make_line('2026-01-01T00:00:03.000Z', 'a', 'item-run', job='j1', id='i2'),
    'no object here',
    '{"cut',
]
SECOND = [
    make_line('2026-01-01T00:00:02.000Z', 'b', 'job-started', job='j1'),
    make_line(
        '2026-01-01T00:00:04.000Z',
        'b',
        'results-listed',
        job='j1',
        items=['i1'],
    ),
    make_line('2026-01-01T00:00:05.000Z', 'b', 'job-started', job='j2'),
]


def test_an_item_is_followed_over_all_instances():
    lines = savedlogs.read_lines([FIRST, SECOND])
    found = savedlogs.find_related(lines, 'i1')
    assert [one.event for one in found] == [
        'job-submitted',
        'job-started',
        'item-run',
        'results-listed',
    ]
    assert all(one.fields.get('id') != 'i2' for one in found)


def test_tool_reads_files_without_an_instance(tmp_path):
    paths = [tmp_path / 'a.log', tmp_path / 'b.log']
    for path, lines in zip(paths, (FIRST, SECOND), strict=True):
        path.write_text('\n'.join(lines))
    names = [str(path) for path in paths]
    done = test_cmdline.run('logs', 'explain', 'i1', *names)
    assert done.returncode == 0, done.stderr
    assert done.stdout.count('\n') == 4
    page = tmp_path / 'page.html'
    done = test_cmdline.run('logs', 'timeline', *names, '--html', str(page))
    assert done.returncode == 0, done.stderr
    assert page.read_text().count('<tr>') == 7
    done = test_cmdline.run('logs', 'explain', 'nobody', *names)
    assert done.returncode == 1
    assert 'No line names' in done.stderr


def test_a_reader_that_stops_early_costs_no_traceback(tmp_path):
    path = tmp_path / 'a.log'
    path.write_text('\n'.join(FIRST * 5000))
    code = 'from pomelopass import cmdline; cmdline.main()'
    tool = subprocess.Popen(
        [sys.executable, '-c', code, 'logs', 'timeline', str(path)],
        cwd=fleet.ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    tool.stdout.readline()
    tool.stdout.close()
    told = tool.stderr.read()
    tool.stderr.close()
    assert tool.wait() == 0
    assert told == ''


def test_a_clock_that_is_behind_is_told(tmp_path):
    path = tmp_path / 'all.log'
    path.write_text(
        '\n'.join(
            [
                make_line(
                    '2026-01-01T00:00:02.500Z', 'a', 'started', start='a-1'
                ),
                make_line(
                    '2026-01-01T00:00:01.000Z',
                    'b',
                    'instance-found',
                    start='a-1',
                ),
                make_line(
                    '2026-01-01T00:00:02.600Z',
                    'c',
                    'instance-found',
                    start='a-1',
                ),
            ]
        )
    )
    done = test_cmdline.run('logs', 'timeline', str(path))
    remarks = [one for one in done.stdout.splitlines() if one[0] == '#']
    assert remarks == [
        '# The clock of b is at least 1500 ms behind that of a.'
    ]
    page = tmp_path / 'page.html'
    test_cmdline.run('logs', 'timeline', str(path), '--html', str(page))
    assert 'The clock of b is at least 1500 ms behind' in page.read_text()


def test_a_line_without_a_readable_time_tells_of_no_clock():
    started = make_line('2026-01-01T00:00:02.500Z', 'a', 'started', start='s')
    found = make_line('?', 'b', 'instance-found', start='s')
    lines = savedlogs.read_lines([[started, found]])
    assert clockskew.find_clock_skews(lines) == []
