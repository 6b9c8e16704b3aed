"""Stop an instance without interrupting requests."""

import dataclasses
import enum

__all__ = ['Phase', 'StopState', 'advance', 'begin', 'is_accepting']

ENTRIES_TTL_MS = 3000
LATE_CALLER_MARGIN_MS = 1000


class Phase(enum.Enum):
    """Phases of a graceful shutdown."""

    RUNNING = 'running'
    UNLISTED = 'unlisted'
    CLOSING = 'closing'
    STOPPED = 'stopped'


@dataclasses.dataclass(slots=True)
class StopState:
    """The phase and the time at which the shutdown began."""

    phase: Phase = Phase.RUNNING
    began_at_ms: float = 0.0


def begin(state: StopState, now_ms: float) -> None:
    """Leave the list of entries; still accept requests."""
    if state.phase == Phase.RUNNING:
        state.phase = Phase.UNLISTED
        state.began_at_ms = now_ms


def advance(state: StopState, in_flight: int, now_ms: float) -> Phase:
    """Advance when listed addresses have expired and work has ended."""
    if state.phase == Phase.UNLISTED:
        grace_ms = ENTRIES_TTL_MS + LATE_CALLER_MARGIN_MS
        if now_ms - state.began_at_ms >= grace_ms:
            state.phase = Phase.CLOSING
    if state.phase == Phase.CLOSING and in_flight == 0:
        state.phase = Phase.STOPPED
    return state.phase


def is_accepting(state: StopState) -> bool:
    """Return whether new requests are accepted."""
    return state.phase in (Phase.RUNNING, Phase.UNLISTED)
