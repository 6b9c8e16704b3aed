"""Race the last samples of a step on a second endpoint."""

import math
import statistics

from . import batch

__all__ = ['find_sample_to_race']

NEAR_END_SHARE = 0.75
BUDGET_SHARE = 0.1
SLOW_FACTOR = 1.5
MIN_DONE = 4


def find_sample_to_race(
    state: batch.BatchState, now_ms: float
) -> batch.SampleState | None:
    """Return the slowest sample that deserves a second attempt.

    Races start near the end of the step and stay within a budget.
    """
    total = len(state.by_sample)
    done = [
        one
        for one in state.by_sample.values()
        if one.phase == batch.Phase.DONE
    ]
    if len(done) < max(MIN_DONE, NEAR_END_SHARE * total):
        return None
    if state.races >= max(1, math.ceil(BUDGET_SHARE * total)):
        return None
    typical_ms = statistics.median(state.done_ms)
    slow = [
        one
        for one in state.by_sample.values()
        if _is_slow(one, typical_ms, now_ms)
    ]
    return min(slow, key=_get_start_ms, default=None)


def _is_slow(one: batch.SampleState, typical_ms: float, now_ms: float) -> bool:
    if one.phase != batch.Phase.RUNNING:
        return False
    if len(one.started_ms_by_attempt) != 1:
        return False
    return now_ms - _get_start_ms(one) > SLOW_FACTOR * typical_ms


def _get_start_ms(one: batch.SampleState) -> float:
    return min(one.started_ms_by_attempt.values())
