"""Keep slow and failing endpoints out of rotation for a while."""

import math
import statistics

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

    When all become slow together the median follows; until then the cap
    keeps most of them in rotation.
    """
    paces = {
        key: health.get_typical_pace(one, now_ms)
        for key, one in by_key.items()
        if one.samples + len(one.started_by_request) > 0
    }
    known = [pace for pace in paces.values() if pace > 0]
    typical = statistics.median_low(known) if len(known) > 1 else math.inf
    ejected = []
    for key in sorted(paces, key=paces.__getitem__, reverse=True):
        one = by_key[key]
        if not _is_bad(one, paces[key], typical):
            continue
        if one.ejected_until_ms > now_ms or _awaits_probe(one):
            continue
        if not _has_room(by_key, now_ms):
            continue
        _eject(one, now_ms)
        ejected.append(key)
    return ejected


def is_in_rotation(one: health.EndpointHealth, now_ms: float) -> bool:
    """Say whether the endpoint takes work; after a spell, one probe."""
    if max(one.ejected_until_ms, one.unreachable_until_ms) > now_ms:
        return False
    if one.ejections_in_row > 0:
        return not one.probing
    return True


def mark_unreachable(one: health.EndpointHealth, now_ms: float) -> None:
    """Skip an endpoint that takes no connection; the cap does not apply."""
    one.unreachable_until_ms = now_ms + UNREACHABLE_MS


def record_probe_sent(one: health.EndpointHealth) -> None:
    """Allow no second request before the probe has ended."""
    if one.ejections_in_row > 0:
        one.probing = True


def record_probe_result(
    one: health.EndpointHealth, did_well: bool, now_ms: float
) -> None:
    """End a probe: put the endpoint back or eject it for longer."""
    if not one.probing:
        return
    if not did_well:
        _eject(one, now_ms)
        return
    one.probing = False
    one.ejections_in_row = 0
    one.failures_in_row = 0


def record_probe_cancelled(one: health.EndpointHealth) -> None:
    """End a probe that says nothing about the endpoint."""
    one.probing = False


def _awaits_probe(one: health.EndpointHealth) -> bool:
    # Evidence from before the spell must not prolong it.
    return one.ejections_in_row > 0 and not one.probing


def _is_bad(one: health.EndpointHealth, pace: float, typical: float) -> bool:
    if one.failures_in_row >= FAILURES_TO_EJECT:
        return True
    return pace > SLOW_FACTOR * typical


def _has_room(by_key: dict[str, health.EndpointHealth], now_ms: float) -> bool:
    out = sum(1 for one in by_key.values() if one.ejected_until_ms > now_ms)
    return out + 1 <= max(1, int(MAX_EJECTED_SHARE * len(by_key)))


def _eject(one: health.EndpointHealth, now_ms: float) -> None:
    one.ejections_in_row += 1
    spell_ms = EJECT_MS * 2 ** (one.ejections_in_row - 1)
    one.ejected_until_ms = now_ms + min(spell_ms, EJECT_MAX_MS)
    one.probing = False
    one.recent_paces.clear()
    one.failures_in_row = 0
