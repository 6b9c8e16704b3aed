"""Convert rows and transactions to and from relay messages."""

from typing import Any, TypeVar

from . import rows
from ..wire.gen.relay import ttypes

__all__ = [
    'decode_changes',
    'decode_name',
    'decode_outcome',
    'decode_page',
    'decode_parts',
    'decode_rows',
    'decode_write',
    'encode_name',
    'encode_rows',
    'encode_write',
]

Field = TypeVar('Field')


def encode_rows(
    page_rows: tuple[rows.Row, ...],
    has_more: bool,
    version: int,
    now_ms: int,
) -> ttypes.Rows:
    """Return rows as a message."""
    encoded = [
        ttypes.RowValue(encode_name(row.name), row.value, row.version)
        for row in page_rows
    ]
    return ttypes.Rows(encoded, has_more, version, now_ms)


def decode_rows(encoded: list[ttypes.RowValue]) -> tuple[rows.Row, ...]:
    """Return the rows of a message."""
    return tuple(
        rows.Row(decode_name(row.name), row.value, _check(row.version, int))
        for row in encoded
    )


def decode_page(encoded: ttypes.Rows) -> rows.Page:
    """Return the page of a message."""
    return rows.Page(
        decode_rows(encoded.rows),
        bool(encoded.has_more),
        _check(encoded.version, int),
        _check(encoded.now_ms, int),
    )


def decode_changes(encoded: ttypes.Rows) -> rows.Changes:
    """Return the changes of a message."""
    return rows.Changes(
        decode_rows(encoded.rows),
        _check(encoded.version, int),
        _check(encoded.now_ms, int),
    )


def decode_outcome(
    encoded: ttypes.WriteOutcome,
) -> rows.Applied | rows.Conflict:
    """Return the outcome of a transaction."""
    if not encoded.applied:
        return rows.Conflict(decode_rows(encoded.rows.rows))
    return rows.Applied(
        _check(encoded.rows.version, int), _check(encoded.rows.now_ms, int)
    )


def decode_parts(encoded: list[str]) -> tuple[str, ...]:
    """Return the names of the parts of a table."""
    return tuple(_check(name, str) for name in encoded)


def encode_name(name: rows.Key) -> ttypes.RowName:
    """Return the name of a row as a message."""
    return ttypes.RowName(name.table, name.part, name.key)


def decode_name(name: ttypes.RowName) -> rows.Key:
    """Return the name of a row."""
    return rows.Key(
        _check(name.table, str),
        _check(name.part, str),
        _check(name.key, str),
    )


def _check(value: Any, expected_type: type[Field]) -> Field:
    """Return the value; raise TypeError if the sender left it out."""
    if not isinstance(value, expected_type):
        raise TypeError(f'{value!r} is no {expected_type.__name__}')
    return value


def encode_write(transaction: rows.Transaction) -> ttypes.Write:
    """Return a transaction as a message."""
    return ttypes.Write(
        [
            ttypes.RowValue(encode_name(name), None, version)
            for name, version in transaction.expected
        ],
        [
            ttypes.RowValue(encode_name(name), value, 0)
            for name, value in transaction.puts
        ],
        [encode_name(name) for name in transaction.removes],
    )


def decode_write(write: ttypes.Write) -> rows.Transaction:
    """Return the transaction of a message."""
    return rows.Transaction(
        tuple((decode_name(row.name), row.version) for row in write.expected),
        tuple((decode_name(row.name), row.value) for row in write.puts),
        tuple(decode_name(name) for name in write.removes),
    )
