"""Estimate the length of a request from the lengths seen before."""

import dataclasses

__all__ = ['LengthState', 'estimate', 'is_long', 'record_length']

SMOOTHING = 0.2
LONG_FACTOR = 5.0
MAX_KEYS = 4096


@dataclasses.dataclass(slots=True)
class LengthState:
    """Hold smoothed lengths, in tokens or calls, by request shape."""

    by_shape: dict[str, float] = dataclasses.field(default_factory=dict)
    typical: float = 0.0


def estimate(state: LengthState, shape: str, limit: float | None) -> float:
    """Return the expected units; a stated limit caps the estimate."""
    known = state.by_shape.get(shape, state.typical or 1.0)
    if shape not in state.by_shape and limit is not None:
        known = limit if state.typical == 0 else max(known, limit / 2)
    return known if limit is None else min(known, limit)


def record_length(state: LengthState, shape: str, units: float) -> None:
    """Take in the true length of a finished request."""
    if state.typical == 0:
        state.typical = units
    step = units - state.typical
    bounded = max(-0.5 * state.typical, min(step, 0.5 * state.typical))
    state.typical += 0.02 * bounded
    if shape not in state.by_shape and len(state.by_shape) >= MAX_KEYS:
        state.by_shape.pop(next(iter(state.by_shape)))
    known = state.by_shape.get(shape, units)
    state.by_shape[shape] = known + SMOOTHING * (units - known)


def is_long(state: LengthState, units: float) -> bool:
    """Say whether a request is far longer than the typical one."""
    return state.typical > 0 and units > LONG_FACTOR * state.typical
