"""Test the comparison of endpoints' requests with their named limits."""

import json

from pomelopass.reporting import limitaudit
from pomelopass.reporting import savedlogs


def make_lines(send_times_s, limit=2.0, instances=2, status=200):
    """Return the log lines of answers that took 100 ms each."""
    return savedlogs.read_lines(
        [
            json.dumps(
                {
                    'event': 'endpoint-answered',
                    'time': f'2026-01-01T00:00:{at + 0.1:06.3f}Z',
                    'instance': f'entry-{number % instances}',
                    'endpoint': 'e-1',
                    'id': f'r-{number}',
                    'status': status,
                    'not_run': status == 0,
                    'limit': limit,
                    'took_ms': 100.0,
                }
            )
        ]
        for number, at in enumerate(send_times_s)
    )


def test_requests_of_all_instances_count_against_a_limit():
    times = [0.0, *(4.0 + number * 0.2 for number in range(25))]
    (use,) = limitaudit.measure_limit_use(make_lines(times))
    assert use.requests == 20
    assert use.instances == 2
    assert use.allowed == 17.0
    assert use.is_exceeded


def test_requests_right_after_a_limit_was_named_do_not_count():
    times = [number * 0.1 for number in range(25)]
    assert limitaudit.measure_limit_use(make_lines(times)) == []


def test_requests_after_the_limit_was_lifted_do_not_count():
    limited = make_lines([0.0, 4.0])
    lifted = make_lines([4.5 + number * 0.1 for number in range(40)], None)
    (use,) = limitaudit.measure_limit_use([*limited, *lifted])
    assert use.requests == 1


def test_connections_that_failed_neither_count_nor_lift_a_limit():
    limited = make_lines([0.0, 4.0, 6.0])
    failed = make_lines([4.0 + n * 0.1 for n in range(20)], None, status=0)
    (use,) = limitaudit.measure_limit_use([*limited, *failed])
    assert use.requests == 2
