"""Test which of several observations of a limit counts."""

import pytest

from pomelopass.limits import book as books


def test_newest_observation_counts():
    book = books.LimitBook()
    book.observe('e', 2.0, 1000)
    book.merge({'e': books.NamedLimit(9.0, 500)})
    assert book.get_rate('e', 1000) == 2.0
    book.merge({'e': books.NamedLimit(None, 1500)})
    assert book.get_rate('e', 1500) is None
    book.merge({'e': books.NamedLimit(2.0, 1000)})
    assert book.get_rate('e', 1500) is None


def test_limit_without_a_confirmation_expires():
    book = books.LimitBook()
    book.observe('e', 2.0, 1000)
    assert book.get_rate('e', 1000 + books.LIMIT_TTL_MS) == 2.0
    assert book.get_rate('e', 1001 + books.LIMIT_TTL_MS) is None
    assert book.get_recent(1001 + books.LIMIT_TTL_MS) == {}


def test_endpoint_without_a_limit_takes_no_memory():
    book = books.LimitBook()
    book.observe('e', None, 1000)
    assert book.limit_by_endpoint == {}


def test_limit_of_zero_still_lets_a_request_ask_for_its_end():
    book = books.LimitBook()
    book.observe('e', 0.0, 1000)
    assert book.get_rate('e', 1000) == books.MIN_RATE_PER_S


def test_limits_survive_encoding():
    limits = {
        'a': books.NamedLimit(2.5, 7),
        'b': books.NamedLimit(None, 8),
    }
    assert books.decode_limits(books.encode_limits(limits)) == limits


@pytest.mark.parametrize(
    'value', [b'[]', b'{"a": 1}', b'{"a": {"x": 1}}', b'x']
)
def test_malformed_rows_are_rejected(value):
    with pytest.raises(ValueError):
        books.decode_limits(value)
