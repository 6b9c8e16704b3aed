"""Test the comparison of callers at instances with and without links."""

from pomelopass.reporting import savedlogs
from pomelopass.reporting import servedaudit

CUT = ('a', 'b')
OTHERS = ('c', 'd')


def make_line(at_ms, instance, event, **fields):
    seconds, ms = divmod(at_ms, 1000)
    return savedlogs.LogLine(
        f'2026-01-01T00:00:{seconds:02d}.{ms:03d}Z', instance, event, fields
    )


def make_ended(at_ms, instance, is_served):
    outcome = 'answered' if is_served else 'not-run'
    status = 200 if is_served else 0
    return make_line(
        at_ms, instance, 'request-ended', outcome=outcome, status=status
    )


def make_attempt(at_ms, instance, reason):
    return make_line(
        at_ms,
        instance,
        'endpoint-answered',
        status=0 if reason else 200,
        took_ms=10.0,
        reason=reason,
    )


def make_lines(served_when_cut, declared=False):
    lines = []
    for at_ms in range(1000, 12_000, 400):
        for name in CUT + OTHERS:
            is_cut = name in CUT and at_ms >= 2000
            reason = 'connect-timeout' if is_cut and not declared else ''
            if not (is_cut and declared):
                lines.append(make_attempt(at_ms, name, reason))
            served = not is_cut or served_when_cut(at_ms)
            lines.append(make_ended(at_ms, name, served))
    if declared:
        for name in CUT:
            lines.append(make_line(2000, name, 'endpoints-lost'))
            lines.append(make_line(12_000, name, 'endpoints-regained'))
    return sorted(lines, key=lambda line: line.time)


def test_callers_that_only_cut_instances_fail_are_found():
    (count,) = servedaudit.measure_served(make_lines(lambda at_ms: False))
    assert count.instances == CUT
    assert (count.served, count.total) == (0, 34)
    assert (count.served_elsewhere, count.total_elsewhere) == (34, 34)
    assert count.is_unequal


def test_failures_before_the_instances_have_settled_do_not_count():
    (count,) = servedaudit.measure_served(
        make_lines(lambda at_ms: at_ms >= 5000, declared=True)
    )
    assert count.served == count.total > 20
    assert not count.is_unequal


def test_cut_instances_that_serve_nearly_all_are_equal():
    (count,) = servedaudit.measure_served(
        make_lines(lambda at_ms: at_ms % 2000 != 1000, declared=True)
    )
    assert 0 < count.total - count.served <= 10
    assert not count.is_unequal


# The bound of the users' rule is two thirds.
def test_half_of_what_the_others_serve_is_unequal():
    (count,) = servedaudit.measure_served(
        make_lines(lambda at_ms: at_ms % 800 == 200, declared=True)
    )
    assert 0.4 < count.served / count.total < 0.6
    assert count.is_unequal


def test_an_endpoint_that_failed_twice_is_no_lost_link():
    lines = [
        make_attempt(1000, 'a', 'connect-failed'),
        make_attempt(2000, 'a', 'connect-failed'),
        make_attempt(6000, 'a', ''),
    ]
    assert servedaudit.measure_served(lines) == []
