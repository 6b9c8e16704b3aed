"""Estimate the length of a request from lengths of earlier requests."""

import dataclasses

__all__ = ['LengthState', 'estimate', 'is_long', 'record_length']

SMOOTHING = 0.2
LONG_FACTOR = 5.0
MAX_KEYS = 4096


@dataclasses.dataclass(slots=True)
class LengthState:
    """Smoothed lengths, in tokens or calls, by request shape."""

    by_shape: dict[str, float] = dataclasses.field(default_factory=dict)
    typical: float = 0.0


def estimate(state: LengthState, shape: str, limit: float | None) -> float:
    """Return the expected units; a stated limit caps the estimate."""
    expected = state.by_shape.get(shape, state.typical or 1.0)
    if shape not in state.by_shape and limit is not None:
        expected = limit if state.typical == 0 else max(expected, limit / 2)
    return expected if limit is None else min(expected, limit)


def record_length(state: LengthState, shape: str, units: float) -> None:
    """Record the actual length of a finished request."""
    if state.typical == 0:
        state.typical = units
    difference = units - state.typical
    bounded_difference = max(
        -0.5 * state.typical, min(difference, 0.5 * state.typical)
    )
    state.typical += 0.02 * bounded_difference
    if shape not in state.by_shape and len(state.by_shape) >= MAX_KEYS:
        state.by_shape.pop(next(iter(state.by_shape)))
    previous = state.by_shape.get(shape, units)
    state.by_shape[shape] = previous + SMOOTHING * (units - previous)


def is_long(state: LengthState, units: float) -> bool:
    """Return whether the length exceeds LONG_FACTOR typical lengths."""
    return state.typical > 0 and units > LONG_FACTOR * state.typical
