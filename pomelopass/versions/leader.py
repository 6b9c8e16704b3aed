"""Leader election for the duty to order the engines of a service."""

import dataclasses

import orjson

from .. import decoding
from ..table import rows

__all__ = ['Leadership', 'LeaderRow', 'decode_leader']

DUTY_TABLE = 'fleet'
LEADER_KEY_PREFIX = 'weights/'


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRow:
    """Row that names the leader and the fencing token of its orders."""

    # Empty after a release; the name is then that of the last holder.
    holder: str
    holder_name: str
    fence: decoding.Int64
    # Grows with each confirmation, so that no two writes are equal.
    confirmations: decoding.Int64


@dataclasses.dataclass(slots=True)
class Leadership:
    """Last known leader row of a service."""

    service: str
    row: LeaderRow | None = None
    version: int = 0
    # On the lease clock, in seconds.
    leader_since: float = 0.0
    took_over: bool = False
    # Whether the leader before gave the duty up and still lives.
    was_released: bool = False
    # When the row was last seen as that of another instance.
    held_elsewhere_at: float = float('-inf')

    @property
    def key(self) -> rows.Key:
        """Return the key of the row."""
        return rows.Key(DUTY_TABLE, '', f'{LEADER_KEY_PREFIX}{self.service}')

    def put(self, row: rows.Row) -> None:
        """Store a row received from the table service."""
        self.version = row.version
        self.row = decode_leader(row.value) if row.value else None


def decode_leader(value: bytes) -> LeaderRow | None:
    """Return the decoded row, or None if it is malformed."""
    try:
        return _decode(value)
    except ValueError:
        return None


_decode = decoding.make_decoder(LeaderRow)


async def release(table: rows.RowTable, leadership: Leadership) -> bool:
    """Give the duty up; the fencing token stays for the next leader.

    Return False if another write came first. Raise TableError.
    """
    row = dataclasses.replace(leadership.row, holder='')
    outcome = await table.transact(
        rows.Transaction(
            expected=((leadership.key, leadership.version),),
            puts=((leadership.key, orjson.dumps(row)),),
        )
    )
    if isinstance(outcome, rows.Conflict):
        return False
    leadership.row = row
    leadership.version = outcome.version
    return True


async def confirm(
    table: rows.RowTable,
    leadership: Leadership,
    holder: str,
    holder_name: str,
    now: float,
) -> bool:
    """Take or confirm the duty by a write conditional on its row's version.

    Return False if another write came first. Raise TableError.
    """
    previous = leadership.row or LeaderRow('', '', 0, 0)
    already_held = previous.holder == holder
    row = LeaderRow(
        holder,
        holder_name,
        previous.fence if already_held else previous.fence + 1,
        previous.confirmations + 1,
    )
    outcome = await table.transact(
        rows.Transaction(
            expected=((leadership.key, leadership.version),),
            puts=((leadership.key, orjson.dumps(row)),),
        )
    )
    if isinstance(outcome, rows.Conflict):
        current_rows = [
            current_row
            for current_row in outcome.rows
            if current_row.name == leadership.key
        ]
        leadership.row = None
        leadership.version = 0
        for current_row in current_rows:
            leadership.put(current_row)
        # An earlier attempt of this write may have been applied.
        return already_held and leadership.row == row
    leadership.row = row
    leadership.version = outcome.version
    if not already_held:
        leadership.leader_since = now
        leadership.took_over = previous.fence > 0
        leadership.was_released = leadership.took_over and not previous.holder
    return True
