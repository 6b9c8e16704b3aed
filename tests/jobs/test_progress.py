"""Test the bounds of an item's text."""

import orjson
import pytest

from pomelopass.jobs import job as jobs
from pomelopass.jobs import jobtable
from pomelopass.jobs import progress as progresses
from pomelopass.jobs import rowcodec
from pomelopass.table import rows


def fill(make_text):
    """Append events until one does not fit; return the progress."""
    progress = progresses.Progress()
    with pytest.raises(progresses.TextTooLongError):
        for number in range(1, 2 * progresses.MAX_EVENTS):
            progress.append(make_text(number), str(number), number % 200)
            assert progress.stored_bytes <= progresses.MAX_STORED_BYTES
    return progress


# Such a result fitted in no transaction: its job was never listed.
@pytest.mark.parametrize(
    'text', ['x' * 200_000, '\x01' * 9000, '\u6f22\U0001f600' * 3000, 'x', '']
)
def test_result_of_the_longest_text_fits_in_one_transaction(text):
    progress = fill(lambda number: text)
    result = jobs.Result(
        'i', True, '\n'.join(progress.texts), tuple(progress.versions), 's'
    )
    puts = rowcodec.encode_results('job', 0, [result])
    assert len(jobtable.split_writes(puts)) == 1
    assert sum(len(value) for _, value in puts) <= 600_000


def test_text_of_ever_new_versions_ends():
    progress = progresses.Progress()
    with pytest.raises(progresses.TextTooLongError):
        for version in range(1, progresses.MAX_EVENTS):
            progress.append('x', str(version), version)


def test_bytes_of_a_text_are_the_same_after_a_snapshot():
    progress = progresses.Progress()
    for number, text in enumerate(('a', '\u6f22', 'c' * 500), 1):
        progress.append(text, str(number), number % 2)
    assert progresses.make_progress(progress.take_snapshot()) == progress
    stored = orjson.dumps('\n'.join(progress.texts))
    assert progress.stored_bytes >= len(stored)
    progress.discard()
    assert progress == progresses.Progress()


def test_rows_of_the_last_result_wait_for_the_next_page():
    results = [
        jobs.Result(f'i{number}', True, 'x' * 90_000) for number in 'ab'
    ]
    encoded = rowcodec.encode_results('job', 0, results)
    stored = [rows.Row(key, value, 1) for key, value in encoded]
    for count in range(len(stored) + 1):
        complete, pending = rowcodec.split_last_result(stored[:count])
        assert complete + pending == stored[:count]
        decoded = rowcodec.decode_results(complete)
        assert list(decoded.values()) == results[: len(decoded)]
    complete, pending = rowcodec.split_last_result(stored)
    assert len(rowcodec.decode_results(complete)) == 1
    assert list(rowcodec.decode_results(pending).values()) == results[1:]
