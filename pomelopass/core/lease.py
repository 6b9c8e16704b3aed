"""Assign duties by leases with fencing numbers in the table service."""

import dataclasses
import enum

__all__ = [
    'Action',
    'LeaseRow',
    'LeaseState',
    'may_act',
    'record_lost',
    'record_renewed',
    'plan',
]

TTL_MS = 5000
RENEW_EVERY_MS = 1250
ACT_MARGIN_MS = 1000
SECOND_CHOICE_WAIT_MS = 1500


class Action(enum.Enum):
    """Next action of an instance on a lease."""

    WAIT = 'wait'
    ACQUIRE = 'acquire'
    RENEW = 'renew'


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """The row of a duty in the table service."""

    holder: str
    fence: int
    renewal: int


@dataclasses.dataclass(slots=True)
class LeaseState:
    """Local view of the lease of one duty."""

    incarnation: str
    row: LeaseRow | None = None
    row_changed_at_ms: float = 0.0
    first_read_at_ms: float | None = None
    valid_until_ms: float | None = None


def plan(
    state: LeaseState,
    row: LeaseRow | None,
    is_first_choice: bool,
    now_ms: float,
) -> Action:
    """Return the next action after reading the row.

    A lease has expired when its row has not changed for TTL_MS on the
    clock of the reader, so that clocks need not be synchronized.
    """
    if state.first_read_at_ms is None:
        state.first_read_at_ms = now_ms
        state.row_changed_at_ms = now_ms
    if row != state.row:
        state.row = row
        state.row_changed_at_ms = now_ms
    if row is not None and row.holder == state.incarnation:
        return _plan_renewal(state, now_ms)
    state.valid_until_ms = None
    wait_ms = 0 if is_first_choice else SECOND_CHOICE_WAIT_MS
    if row is not None and row.holder:
        wait_ms += TTL_MS
    idle_ms = now_ms - state.row_changed_at_ms
    return Action.ACQUIRE if idle_ms >= wait_ms else Action.WAIT


def get_next_row(state: LeaseState, action: Action) -> LeaseRow:
    """Return the row to write for an acquisition or a renewal."""
    previous = state.row or LeaseRow('', 0, 0)
    fence = previous.fence + 1 if action == Action.ACQUIRE else previous.fence
    return LeaseRow(state.incarnation, fence, previous.renewal + 1)


def get_released_row(state: LeaseState) -> LeaseRow:
    """Return the row that releases the duty immediately."""
    previous = state.row or LeaseRow('', 0, 0)
    return LeaseRow('', previous.fence, previous.renewal + 1)


def record_renewed(
    state: LeaseState, row: LeaseRow, asked_at_ms: float
) -> None:
    """Extend the lease from the time at which the write was requested."""
    state.row = row
    state.row_changed_at_ms = asked_at_ms
    state.valid_until_ms = asked_at_ms + TTL_MS


def record_lost(state: LeaseState) -> None:
    """Record the loss of the lease."""
    state.valid_until_ms = None


def may_act(state: LeaseState, now_ms: float) -> bool:
    """Return whether the lease outlasts an action that starts now."""
    if state.valid_until_ms is None:
        return False
    return now_ms < state.valid_until_ms - ACT_MARGIN_MS


def _plan_renewal(state: LeaseState, now_ms: float) -> Action:
    if state.valid_until_ms is None:
        return Action.RENEW
    renewed_at_ms = state.valid_until_ms - TTL_MS
    due = now_ms - renewed_at_ms >= RENEW_EVERY_MS
    return Action.RENEW if due else Action.WAIT
