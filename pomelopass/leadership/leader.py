"""Elect one leader for each subject of a duty by a conditional write."""

from collections import abc
import dataclasses

import orjson

from .. import decoding
from ..table import rows

__all__ = [
    'SCALING_PREFIX',
    'USAGE_PREFIX',
    'WEIGHTS_PREFIX',
    'LeaderRow',
    'Leadership',
    'confirm',
    'decode_leader',
    'release',
]

DUTY_TABLE = 'fleet'
# Prefixes of the row keys of each duty; the name of the subject follows.
WEIGHTS_PREFIX = 'weights/'
USAGE_PREFIX = 'usage/'
SCALING_PREFIX = 'scaling/'


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRow:
    """Row that names the leader and the fencing token of its calls."""

    # Empty after a release; the name is then that of the last holder.
    holder: str
    holder_name: str
    fence: decoding.Int64
    # Grows with each confirmation, so that no two writes are equal.
    confirmations: decoding.Int64


@dataclasses.dataclass(slots=True)
class Leadership:
    """Last known leader row of a subject; times are of the lease clock."""

    # Key of the row: the prefix of the duty and the name of the subject.
    row_key: str
    # Name and incarnation of this instance.
    name: str
    incarnation: str
    row: LeaderRow | None = None
    version: int = rows.ABSENT
    # When the duty came from another leader, in seconds.
    taken_over_at: float = float('-inf')
    # Whether the previous leader released the duty.
    was_released: bool = False
    # When the row was last seen as that of another instance, in seconds.
    held_elsewhere_at: float = float('-inf')
    # Highest own token that was refused for a newer one.
    refused_fence: int = 0

    @property
    def key(self) -> rows.Key:
        """Return the key of the row."""
        return rows.Key(DUTY_TABLE, '', self.row_key)

    @property
    def is_own(self) -> bool:
        """Return whether the row names this start of the instance."""
        return self.row is not None and self.row.holder == self.incarnation

    def put(self, row: rows.Row, now: float) -> None:
        """Apply a row of the table service unless a newer one is known."""
        decoded = decode_leader(row.value) if row.value else None
        if decoded is not None and decoded.holder_name != self.name:
            self.held_elsewhere_at = now
        if row.version > self.version:
            self.set_row(decoded, row.version, now)

    def set_row(self, row: LeaderRow | None, version: int, now: float) -> None:
        """Replace the row; record when it becomes this instance's own.

        The answer to the write that takes the duty may be lost: then the
        row comes back as a change.
        """
        previous = self.row
        was_own = self.is_own
        self.row = row
        self.version = version
        if self.is_own and not was_own and row.fence > 1:
            self.taken_over_at = now
            self.was_released = previous is not None and not previous.holder


def decode_leader(value: bytes) -> LeaderRow | None:
    """Return the decoded row, or None if it is malformed."""
    try:
        return _decode(value)
    except ValueError:
        return None


_decode = decoding.make_decoder(LeaderRow)


async def release(
    table: rows.RowTable,
    leadership: Leadership,
    get_now: abc.Callable[[], float],
) -> bool:
    """Give the duty up; the fencing token stays for the next leader.

    Return False if another write came first. Raise TableError.
    """
    row = dataclasses.replace(leadership.row, holder='')
    outcome = await _write(table, leadership, row)
    if isinstance(outcome, rows.Conflict):
        return False
    if outcome.version > leadership.version:
        leadership.set_row(row, outcome.version, get_now())
    return True


async def confirm(
    table: rows.RowTable,
    leadership: Leadership,
    get_now: abc.Callable[[], float],
) -> LeaderRow | None:
    """Take or confirm the duty by a write conditional on its row's version.

    Return the row that this call wrote, or None if another write came first.
    Raise TableError.
    """
    previous = leadership.row or LeaderRow('', '', 0, 0)
    already_held = leadership.is_own
    row = LeaderRow(
        leadership.incarnation,
        leadership.name,
        previous.fence if already_held else previous.fence + 1,
        previous.confirmations + 1,
    )
    outcome = await _write(table, leadership, row)
    if isinstance(outcome, rows.Conflict):
        _apply_conflict(leadership, outcome, get_now())
        # An earlier attempt of this write may have been applied.
        is_applied = already_held and leadership.row == row
        return row if is_applied else None
    # A change may have brought the row of the next leader already.
    if outcome.version > leadership.version:
        leadership.set_row(row, outcome.version, get_now())
    return row


async def _write(
    table: rows.RowTable, leadership: Leadership, row: LeaderRow
) -> rows.Applied | rows.Conflict:
    return await table.transact(
        rows.Transaction(
            expected=((leadership.key, leadership.version),),
            puts=((leadership.key, orjson.dumps(row)),),
        )
    )


def _apply_conflict(
    leadership: Leadership, conflict: rows.Conflict, now: float
) -> None:
    current_rows = [row for row in conflict.rows if row.name == leadership.key]
    if not current_rows:
        leadership.set_row(None, rows.ABSENT, now)
    for row in current_rows:
        leadership.put(row, now)
