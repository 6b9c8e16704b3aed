"""Test the search for reports and holders that contradict each other."""

from pomelopass.reporting import dutyaudit
from pomelopass.reporting import savedlogs


def make_line(instance, event, **fields):
    return savedlogs.LogLine('2026-01-01T00:00:00', instance, event, fields)


def make_report(instance, window, digest, fence=1, outcome='accepted'):
    return make_line(
        instance,
        'usage-reported',
        window=window,
        digest=digest,
        fence=fence,
        outcome=outcome,
    )


def test_window_with_other_counts_is_found_and_a_repeat_is_not():
    lines = [
        make_report('entry-0', 7, 'aa', outcome='unknown'),
        make_report('entry-1', 7, 'aa', fence=2),
        make_report('entry-0', 8, 'bb'),
        make_report('entry-1', 8, 'cc', fence=2),
        make_report('entry-0', 9, 'dd'),
        make_report('entry-1', 9, 'ee', fence=2, outcome='withdrawn'),
    ]
    (found,) = dutyaudit.find_other_reports(lines)
    assert found.window == 8
    assert found.instances_by_digest == {
        'bb': ('entry-0',),
        'cc': ('entry-1',),
    }
    assert dutyaudit.find_shared(lines) == []


def test_two_holders_of_one_token_are_found():
    def make_taken(instance, subject, fence):
        return make_line(
            instance, 'duty-taken', duty='usage', subject=subject, fence=fence
        )

    lines = [
        make_taken('entry-0', 'windows', 3),
        make_taken('entry-1', 'windows', 4),
        make_taken('entry-1', 'others', 3),
    ]
    assert dutyaudit.find_shared(lines) == []
    lines.append(make_report('entry-2', 7, 'aa', fence=4))
    (found,) = dutyaudit.find_shared(lines)
    assert (found.subject, found.fence) == ('windows', 4)
    assert found.instances == ('entry-1', 'entry-2')
