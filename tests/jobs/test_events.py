"""Test that only events of a generation are taken for such."""

import pytest

from pomelopass.jobs import events


def feed(*chunks, last_id=None):
    parser = events.EventParser('weight-version', last_id)
    return [event.id for chunk in chunks for event in parser.feed(chunk)]


def test_event_split_at_any_byte_is_read_once():
    data = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
    for cut in range(len(data)):
        assert feed(data[:cut], data[cut:]) == ['1', '2']


def test_comments_and_blank_lines_are_no_events():
    assert feed(b': x\n\n\n\nid: 1\ndata: a\n\n') == ['1']


@pytest.mark.parametrize(
    'data',
    [
        b'data: a\n\n',
        b'garbage\n\n',
        b'id: 2\ndata: a\n\nid: 2\ndata: a\n\n',
        b'id: 2\ndata: a\n\nid: 1\ndata: a\n\n',
    ],
)
def test_bytes_that_are_no_event_are_rejected(data):
    with pytest.raises(events.BadEventError):
        feed(data)


def test_resumed_text_does_not_begin_again():
    assert feed(b'id: 4\ndata: a\n\n', last_id='3') == ['4']
    with pytest.raises(events.BadEventError):
        feed(b'id: 1\ndata: a\n\n', last_id='3')


def test_event_without_an_end_is_rejected():
    parser = events.EventParser('weight-version')
    with pytest.raises(events.BadEventError):
        for _ in range(events.MAX_EVENT_BYTES):
            parser.feed(b'x' * 100)
