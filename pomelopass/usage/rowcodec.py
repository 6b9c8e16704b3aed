"""Encode the rows of usage counts and of the progress of reports."""

import dataclasses

import orjson

from .. import decoding
from ..fleet import heartbeat
from ..leadership import leader
from ..table import parts
from ..table import rows

__all__ = [
    'COUNT_TABLE',
    'PROGRESS_KEY',
    'REPORT_TABLE',
    'CountRow',
    'Progress',
    'decode_counts',
    'decode_progress',
    'encode_row',
    'make_count_key',
    'make_report_key',
    'parse_window',
]

COUNT_TABLE = 'usage'
COUNT_PARTS = parts.make_names(heartbeat.PART_PREFIX)
REPORT_TABLE = 'usage-reports'
# Beside the row of the leader, so that all instances follow it.
PROGRESS_KEY = rows.Key(
    heartbeat.MEMBER_TABLE, '', f'{leader.USAGE_PREFIX}progress'
)
# Digits of a key, so that keys sort as their windows do.
WINDOW_DIGITS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class CountRow:
    """Requests that endpoints started for one start of an instance."""

    name: str
    # UTC of the instance less the time of the table service.
    offset_ms: decoding.FiniteFloat
    # Last window that was over when the row was written; -1 for none.
    counted_to: decoding.Int64
    # By number of the window and by workspace.
    windows: dict[str, dict[str, decoding.Count]]


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Agreed clock and last accepted window, read by all instances."""

    # Agreed difference of true time and the time of the table service.
    offset_ms: decoding.FiniteFloat
    # All windows up to this one are reported and accepted.
    reported_to: decoding.Int64


_decode_counts = decoding.make_decoder(CountRow)
decode_progress = decoding.make_decoder(Progress)


def decode_counts(value: bytes) -> CountRow:
    """Return the decoded counts; raise ValueError."""
    row = _decode_counts(value)
    if not all(window.isdecimal() for window in row.windows):
        raise ValueError('a window is no number')
    return row


def encode_row(row: CountRow | Progress) -> bytes:
    """Return the value of a row."""
    return orjson.dumps(row, option=orjson.OPT_SORT_KEYS)


def make_count_key(name: str, incarnation: str) -> rows.Key:
    """Return the key of a start's counts, in the part of its heartbeat."""
    part = parts.choose_part(heartbeat.PART_PREFIX, name)
    return rows.Key(COUNT_TABLE, part, incarnation)


def make_report_key(window: int) -> rows.Key:
    """Return the key of the report of a window."""
    return rows.Key(REPORT_TABLE, '', f'{window:0{WINDOW_DIGITS}d}')


def parse_window(key: rows.Key) -> int:
    """Return the window of the key of a report."""
    return int(key.key)
