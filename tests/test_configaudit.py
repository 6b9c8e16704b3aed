"""Test the measurement of how late configurations are in force."""

from pomelopass.reporting import configaudit
from pomelopass.reporting import savedlogs


def make_line(at_s, event, instance='entry-0', utc_step_s=0.0, **fields):
    time = f'2026-01-01T00:00:{at_s + utc_step_s:06.3f}+00:00'
    return savedlogs.LogLine(time, instance, event, fields, at_s * 1000)


def make_take(at_s, version, instance='entry-0', **changes):
    return make_line(
        at_s, 'configuration-in-force', instance, version=version, **changes
    )


def get_lags(*lines):
    return {
        (lag.instance, lag.version): lag
        for lag in configaudit.measure_lags(lines)
    }


START = (make_take(1.0, 1), make_take(1.0, 1, 'entry-1'))


def test_lag_counts_from_the_first_instance_and_a_newer_version_counts():
    lags = get_lags(
        *START,
        make_take(5.0, 2),
        make_take(6.0, 3),
        make_take(7.5, 3, 'entry-1'),
    )
    assert lags['entry-1', 2].lag_ms == 2500
    assert lags['entry-1', 2].is_late
    assert lags['entry-1', 3].lag_ms == 1500
    assert not lags['entry-1', 3].is_late


def test_version_that_never_comes_is_late_and_one_at_the_end_is_left_out():
    lags = get_lags(
        *START,
        make_take(5.0, 2),
        make_line(8.0, 'request-ended', 'entry-1'),
        make_take(7.0, 3),
    )
    assert lags['entry-1', 2].lag_ms is None
    assert lags['entry-1', 2].is_late
    assert ('entry-1', 3) not in lags


def test_instance_without_the_table_is_late_without_a_finding():
    lags = get_lags(
        *START,
        make_take(5.0, 2),
        make_line(6.0, 'table-lost', 'entry-1', detail='timeout'),
        make_line(8.0, 'table-regained', 'entry-1'),
        make_take(8.1, 2, 'entry-1'),
    )
    assert lags['entry-1', 2].without_table
    assert not lags['entry-1', 2].is_late


# The time of day of an instance may jump while it serves.
def test_step_of_the_clock_is_no_lag():
    lags = get_lags(
        *START,
        make_line(2.0, 'request-ended', 'entry-1'),
        make_take(5.0, 2),
        make_take(5.1, 2, 'entry-1', utc_step_s=3.0),
        make_line(7.0, 'request-ended', 'entry-1'),
    )
    assert round(lags['entry-1', 2].lag_ms) == 100


def test_restart_counts_from_its_own_first_configuration():
    lags = get_lags(
        *START,
        make_take(5.0, 2),
        make_line(9.0, 'started', 'entry-1', start='entry-1-2'),
        make_take(9.5, 2, 'entry-1'),
    )
    assert lags['entry-0', 2].lag_ms == 0
    assert ('entry-1', 2) not in lags


# The line is of another instance, whose clock of steady time differs.
def test_line_about_a_found_instance_is_not_one_of_it():
    found = make_line(9.0, 'instance-found', 'entry-1', start='entry-1-1')
    assert ('entry-1', 2) not in get_lags(*START, make_take(5.0, 2), found)
