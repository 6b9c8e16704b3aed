"""Test the search for texts that several software versions wrote."""

from pomelopass.reporting import savedlogs
from pomelopass.reporting import textaudit


def make_answer(text_id, software, resumed_after=None, resumes=None):
    """Return the log line of an answer that began or went on with a text."""
    fields = {
        'id': text_id,
        'endpoint': f'engine-{software}',
        'status': 200,
        'software': software,
        'resumed_after': resumed_after,
        'resumes': resumes,
    }
    # Log lines leave out what is not set.
    return savedlogs.LogLine(
        '2026-01-01T00:00:00Z',
        'entry-0',
        'endpoint-answered',
        {name: value for name, value in fields.items() if value is not None},
    )


def test_text_that_goes_on_at_another_version_is_found():
    found = textaudit.find_joined_texts(
        [
            make_answer('a', 'v1'),
            make_answer('a', 'v2', '12'),
            make_answer('b', 'v1'),
            make_answer('b', 'v1', '3'),
        ]
    )
    assert found.resumed == 2
    assert [text.id for text in found.joined] == ['a']


def test_text_that_begins_again_is_not_joined():
    found = textaudit.find_joined_texts(
        [
            make_answer('a', 'v1'),
            make_answer('a', 'v2'),
            make_answer('a', 'v2', '4'),
        ]
    )
    assert not found.joined


def test_stream_that_its_caller_resumes_belongs_to_the_first_request():
    found = textaudit.find_joined_texts(
        [
            make_answer('a', 'v1'),
            make_answer('b', 'v1', '4', 'a'),
            make_answer('c', 'v2', '9', 'a'),
        ]
    )
    assert [text.resumed_after for text in found.joined] == ['9']


def test_end_of_a_run_tells_where_its_text_began():
    answer = make_answer('a', 'v1')
    run = savedlogs.LogLine(
        answer.time, 'entry-0', 'item-run', {**answer.fields, 'events': 9}
    )
    found = textaudit.find_joined_texts(
        [make_answer('a', 'v2'), run, make_answer('a', 'v1', '9')]
    )
    assert not found.joined
