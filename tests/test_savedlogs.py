"""Test the search, the time line and the clock skew of saved logs."""

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


LINES_OF_A = [
    make_line('2026-01-01T00:00:01.000Z', 'a', 'job-submitted', job='j1'),
    '  3.5 machine-1 '
    + make_line(
        '2026-01-01T00:00:03.000Z', 'a', 'item-run', job='j1', id='i1'
    ),
    make_line('2026-01-01T00:00:03.000Z', 'a', 'item-run', job='j1', id='i2'),
    'no object here',
    '{"cut',
]
LINES_OF_B = [
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


def test_events_of_an_item_are_found_across_instances():
    lines = savedlogs.read_lines([LINES_OF_A, LINES_OF_B])
    related = savedlogs.find_related(lines, 'i1')
    assert [line.event for line in related] == [
        'job-submitted',
        'job-started',
        'item-run',
        'results-listed',
    ]
    assert all(line.fields.get('id') != 'i2' for line in related)


# A collector that reads several processes may join or split their lines.
def test_objects_are_found_wherever_they_stand_in_a_line():
    whole = make_line('2026-01-01T00:00:01.000Z', 'a', 'job-ended', job='j1')
    cut = make_line('2026-01-01T00:00:01.000Z', 'b', 'job-ended', job='j2')
    texts = [cut[:30] + '3.5 machine-1 ' + whole + whole, cut[30:]]
    lines = savedlogs.read_lines([texts])
    assert [line.fields for line in lines] == [{'job': 'j1'}, {'job': 'j1'}]


def test_log_commands_need_no_running_instance(tmp_path):
    paths = [tmp_path / 'a.log', tmp_path / 'b.log']
    for path, lines in zip(paths, (LINES_OF_A, LINES_OF_B), strict=True):
        path.write_text('\n'.join(lines))
    names = [str(path) for path in paths]
    completed = test_cmdline.run('logs', 'explain', 'i1', *names)
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout.count('\n') == 4
    page = tmp_path / 'page.html'
    completed = test_cmdline.run(
        'logs', 'timeline', *names, '--html', str(page)
    )
    assert completed.returncode == 0, completed.stderr
    assert page.read_text().count('<tr>') == 7
    completed = test_cmdline.run('logs', 'explain', 'nobody', *names)
    assert completed.returncode == 1
    assert 'No line names' in completed.stderr


def test_closed_output_pipe_causes_no_traceback(tmp_path):
    path = tmp_path / 'a.log'
    path.write_text('\n'.join(LINES_OF_A * 5000))
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
    errors = tool.stderr.read()
    tool.stderr.close()
    assert tool.wait() == 0
    assert errors == ''


def test_clock_skew_is_reported(tmp_path):
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
    completed = test_cmdline.run('logs', 'timeline', str(path))
    remarks = [
        line for line in completed.stdout.splitlines() if line[0] == '#'
    ]
    assert remarks == [
        '# The clock of b is at least 1500 ms behind that of a.'
    ]
    page = tmp_path / 'page.html'
    test_cmdline.run('logs', 'timeline', str(path), '--html', str(page))
    assert 'The clock of b is at least 1500 ms behind' in page.read_text()


def test_line_with_an_invalid_time_shows_no_clock_skew():
    started = make_line('2026-01-01T00:00:02.500Z', 'a', 'started', start='s')
    discovery = make_line('?', 'b', 'instance-found', start='s')
    lines = savedlogs.read_lines([[started, discovery]])
    assert clockskew.find_clock_skews(lines) == []
