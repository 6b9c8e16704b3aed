"""Eject slow and failing endpoints from rotation for a limited time."""

import math
import statistics

from . import backoff
from . import health

__all__ = ['is_in_rotation', 'record_probe_sent', 'review']

SLOW_FACTOR = 3.0
EJECT_MS = 2500
EJECT_MAX_MS = 40_000
MAX_EJECTED_SHARE = 0.34
FAILURES_TO_EJECT = 3
UNREACHABLE_MS = 1000


def review(
    by_key: dict[str, health.EndpointHealth], now_ms: float
) -> list[str]:
    """Eject endpoints far slower than the median; return their keys.

    If all endpoints slow down, the median follows; until it does,
    MAX_EJECTED_SHARE keeps most of them in rotation.
    """
    paces = {
        key: health.get_median_pace(state, now_ms)
        for key, state in by_key.items()
        if state.samples + len(state.started_by_request) > 0
    }
    nonzero_paces = [pace for pace in paces.values() if pace > 0]
    median_pace = (
        statistics.median_low(nonzero_paces)
        if len(nonzero_paces) > 1
        else math.inf
    )
    ejected = []
    for key in sorted(paces, key=paces.__getitem__, reverse=True):
        state = by_key[key]
        if not _is_bad(state, paces[key], median_pace):
            continue
        if state.ejected_until_ms > now_ms or _awaits_probe(state):
            continue
        if not _has_room(by_key, now_ms):
            continue
        _eject(state, now_ms)
        ejected.append(key)
    return ejected


def is_in_rotation(state: health.EndpointHealth, now_ms: float) -> bool:
    """Return whether the endpoint may get work; one probe after ejection."""
    if max(state.ejected_until_ms, state.unreachable_until_ms) > now_ms:
        return False
    if state.ejections_in_row > 0:
        return not state.probing
    return True


def mark_unreachable(state: health.EndpointHealth, now_ms: float) -> None:
    """Skip an endpoint that refuses connections, regardless of the cap."""
    state.unreachable_until_ms = now_ms + UNREACHABLE_MS


def record_probe_sent(state: health.EndpointHealth) -> None:
    """Block further requests until the probe has ended."""
    if state.ejections_in_row > 0:
        state.probing = True


def record_probe_result(
    state: health.EndpointHealth, succeeded: bool, now_ms: float
) -> None:
    """End a probe: restore the endpoint or eject it for longer."""
    if not state.probing:
        return
    if not succeeded:
        _eject(state, now_ms)
        return
    state.probing = False
    state.ejections_in_row = 0
    state.failures_in_row = 0


def record_probe_cancelled(state: health.EndpointHealth) -> None:
    """End a probe that was cancelled and gave no evidence."""
    state.probing = False


def _awaits_probe(state: health.EndpointHealth) -> bool:
    # Evidence from before an ejection must not prolong it.
    return state.ejections_in_row > 0 and not state.probing


def _is_bad(
    state: health.EndpointHealth, pace: float, median_pace: float
) -> bool:
    if state.failures_in_row >= FAILURES_TO_EJECT:
        return True
    return pace > SLOW_FACTOR * median_pace


def _has_room(by_key: dict[str, health.EndpointHealth], now_ms: float) -> bool:
    ejected = sum(
        1 for state in by_key.values() if state.ejected_until_ms > now_ms
    )
    return ejected + 1 <= max(1, int(MAX_EJECTED_SHARE * len(by_key)))


def _eject(state: health.EndpointHealth, now_ms: float) -> None:
    state.ejections_in_row += 1
    state.ejected_until_ms = now_ms + backoff.get_backoff_ms(
        EJECT_MS, state.ejections_in_row - 1, EJECT_MAX_MS
    )
    state.probing = False
    state.recent_paces.clear()
    state.failures_in_row = 0
