"""Hold the duty to order the engines of a service."""

import dataclasses

import orjson

from ..table import rows

__all__ = ['Leadership', 'LeaderRow', 'decode_leader']

DUTY_TABLE = 'fleet'
LEADER_KEY_PREFIX = 'weights/'


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRow:
    """Hold who orders, and the number that orders carry."""

    holder: str
    holder_name: str
    fence: int
    # Grows with each confirmation, so that no two writes are alike.
    confirmations: int


@dataclasses.dataclass(slots=True)
class Leadership:
    """Hold the last known row of the duty for a service's engines."""

    service: str
    row: LeaderRow | None = None
    version: int = 0
    held_since: float = 0.0
    took_over: bool = False

    @property
    def key(self) -> rows.Key:
        """Return the name of the row."""
        return rows.Key(DUTY_TABLE, '', f'{LEADER_KEY_PREFIX}{self.service}')

    def put(self, row: rows.Row) -> None:
        """Take in a row of the table service."""
        self.version = row.version
        self.row = decode_leader(row.value) if row.value else None


def decode_leader(value: bytes) -> LeaderRow | None:
    """Return the row, or None if it can't be read."""
    try:
        return LeaderRow(**orjson.loads(value))
    except (TypeError, ValueError):
        return None


async def confirm(
    table: rows.RowTable,
    leadership: Leadership,
    holder: str,
    holder_name: str,
    now: float,
) -> bool:
    """Take or confirm the duty under the known version of its row.

    Raise TableError. False means that another write came first.
    """
    old = leadership.row or LeaderRow('', '', 0, 0)
    held = old.holder == holder
    row = LeaderRow(
        holder,
        holder_name,
        old.fence if held else old.fence + 1,
        old.confirmations + 1,
    )
    outcome = await table.transact(
        rows.Transaction(
            expected=((leadership.key, leadership.version),),
            puts=((leadership.key, orjson.dumps(row)),),
        )
    )
    if isinstance(outcome, rows.Conflict):
        found = [one for one in outcome.rows if one.name == leadership.key]
        leadership.row = None
        leadership.version = 0
        for one in found:
            leadership.put(one)
        # An earlier send of this very write was applied.
        return held and leadership.row == row
    leadership.row = row
    leadership.version = outcome.version
    if not held:
        leadership.held_since = now
        leadership.took_over = old.fence > 0
    return True
