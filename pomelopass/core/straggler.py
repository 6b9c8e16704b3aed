"""Race slow samples at the end of a step on a second endpoint."""

import math
import statistics

from . import batch

__all__ = ['find_sample_to_race']

NEAR_END_SHARE = 0.75
SLOW_FACTOR = 1.5
MIN_DONE = 4
MAX_ATTEMPTS = 3


def find_sample_to_race(
    state: batch.BatchState, race_percent: float, now_ms: float
) -> batch.SampleState | None:
    """Return the slow sample to race on another endpoint, or None.

    Races start near the end of the step, take no slot from a waiting
    sample and stay within race_percent of all samples.
    """
    if state.by_phase[batch.Phase.WAITING]:
        return None
    total = batch.count_samples(state)
    done = len(state.by_phase[batch.Phase.DONE])
    if done < max(MIN_DONE, NEAR_END_SHARE * total):
        return None
    if state.races >= math.ceil(race_percent * total / 100):
        return None
    typical_ms = statistics.median(state.done_ms)
    slow_samples = [
        sample_state
        for sample_state in state.by_phase[batch.Phase.RUNNING].values()
        if _is_slow(sample_state, typical_ms, now_ms)
    ]
    return min(slow_samples, key=_get_last_start_ms, default=None)


def _is_slow(
    sample_state: batch.SampleState, typical_ms: float, now_ms: float
) -> bool:
    if len(sample_state.started_ms_by_attempt) >= MAX_ATTEMPTS:
        return False
    return now_ms - _get_last_start_ms(sample_state) > SLOW_FACTOR * typical_ms


def _get_last_start_ms(sample_state: batch.SampleState) -> float:
    return max(sample_state.started_ms_by_attempt.values())
