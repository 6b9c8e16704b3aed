"""Test the search for requests to endpoints that had said they leave."""

from pomelopass.reporting import leavingaudit
from pomelopass.reporting import savedlogs


def make_line(at_s, event, instance='entry-0', **fields):
    time = f'2026-01-01T00:00:{at_s:06.3f}+00:00'
    return savedlogs.LogLine(time, instance, event, fields)


def make_answer(at_s, request_id, instance='entry-0', **fields):
    values = {
        'id': request_id,
        'endpoint': 'e0',
        'status': 200,
        'not_run': False,
        'took_ms': 100.0,
        **fields,
    }
    return make_line(at_s, 'endpoint-answered', instance, **values)


def find_ids(*lines):
    late_requests = leavingaudit.find_late_requests(lines)
    return [request_id for late in late_requests for request_id in late.ids]


NOTICE = make_answer(1.0, 'a', leaving=True)


def test_request_more_than_two_seconds_after_the_notice_is_late():
    lines = (NOTICE, make_answer(3.0, 'b'), make_answer(3.2, 'c'))
    assert find_ids(*lines) == ['c']


def test_request_of_an_instance_that_received_no_notice_is_not_late():
    assert find_ids(NOTICE, make_answer(4.0, 'b', 'entry-1')) == []


def test_restart_of_either_side_ends_what_was_learned():
    restarted = make_line(
        2.0, 'endpoint-changed', endpoint='e0', change='restarted'
    )
    assert find_ids(NOTICE, restarted, make_answer(4.0, 'b')) == []
    started = make_line(2.0, 'started')
    assert find_ids(NOTICE, started, make_answer(4.0, 'b')) == []


def test_connection_that_never_opened_reaches_nothing():
    failed = make_answer(4.0, 'b', status=0, not_run=True)
    assert find_ids(NOTICE, failed) == []


# The endpoint sees the peer, whoever asked.
def test_request_over_a_peer_that_carried_the_notice_is_late():
    carried = make_answer(1.0, 'a', peer='entry-2', leaving=True)
    own = make_answer(4.0, 'b', 'entry-2')
    other = make_answer(4.0, 'c', 'entry-1', peer='entry-2')
    assert find_ids(carried, own) == ['b']
    assert find_ids(carried, other) == ['c']
    assert find_ids(NOTICE, make_answer(4.0, 'd', 'entry-2')) == []
