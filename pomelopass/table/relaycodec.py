"""Convert rows and transactions to and from relay messages."""

from . import rows
from ..wire.gen.relay import ttypes

__all__ = [
    'decode_name',
    'decode_rows',
    'decode_write',
    'encode_name',
    'encode_rows',
    'encode_write',
]


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
        rows.Row(decode_name(row.name), row.value, row.version)
        for row in encoded
    )


def encode_name(name: rows.Key) -> ttypes.RowName:
    """Return the name of a row as a message."""
    return ttypes.RowName(name.table, name.part, name.key)


def decode_name(name: ttypes.RowName) -> rows.Key:
    """Return the name of a row."""
    return rows.Key(name.table, name.part, name.key)


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
