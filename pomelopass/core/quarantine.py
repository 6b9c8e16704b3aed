"""Refuse requests whose content crashes the endpoints that run them."""

import dataclasses
import enum

from . import refusal

__all__ = [
    'Decision',
    'QuarantineState',
    'check',
    'expire',
    'record_suspect',
    'record_crash',
    'record_survived',
]

CRASHES_TO_QUARANTINE = 2
QUARANTINE_MS = 600_000
SUSPECT_MS = 20_000


class Decision(enum.Enum):
    """Decision about a request after a crash."""

    TRY_ONCE_MORE = 'try-once-more'
    QUARANTINED = 'quarantined'


@dataclasses.dataclass(slots=True)
class Suspect:
    """Crashes recorded for one fingerprint."""

    crashes: int
    expires_at_ms: float


@dataclasses.dataclass(slots=True)
class QuarantineState:
    """Suspect and quarantined requests by fingerprint."""

    by_fingerprint: dict[str, Suspect] = dataclasses.field(
        default_factory=dict
    )


def check(
    state: QuarantineState, fingerprint: str, now_ms: float
) -> refusal.Refusal | None:
    """Return a refusal for a suspect or quarantined request."""
    suspect = state.by_fingerprint.get(fingerprint)
    if suspect is None or now_ms >= suspect.expires_at_ms:
        return None
    remaining_ms = int(suspect.expires_at_ms - now_ms)
    if suspect.crashes >= CRASHES_TO_QUARANTINE:
        return refusal.Refusal(
            refusal.Code.QUARANTINED,
            'Endpoints crashed while they ran this request.',
            retry_after_ms=remaining_ms,
        )
    return refusal.Refusal(
        refusal.Code.SUSPECT,
        'An endpoint crashed while it ran this request.',
        retry_after_ms=remaining_ms,
    )


def record_crash(
    state: QuarantineState, fingerprint: str, now_ms: float
) -> Decision:
    """Count a crash; the caller of this function makes the next attempt."""
    suspect = _find_live(state, fingerprint, now_ms)
    crashes = suspect.crashes + 1 if suspect is not None else 1
    record_suspect(state, fingerprint, crashes, _get_ttl_ms(crashes), now_ms)
    if crashes >= CRASHES_TO_QUARANTINE:
        return Decision.QUARANTINED
    return Decision.TRY_ONCE_MORE


def record_suspect(
    state: QuarantineState,
    fingerprint: str,
    crashes: int,
    ttl_ms: float,
    now_ms: float,
) -> bool:
    """Record crashes seen by any instance; return whether they are new."""
    suspect = _find_live(state, fingerprint, now_ms)
    if suspect is not None and suspect.crashes >= crashes:
        return False
    expires_at_ms = now_ms + min(ttl_ms, QUARANTINE_MS)
    state.by_fingerprint[fingerprint] = Suspect(crashes, expires_at_ms)
    return True


def record_survived(state: QuarantineState, fingerprint: str) -> None:
    """Remove a suspect that completed on another endpoint."""
    suspect = state.by_fingerprint.get(fingerprint)
    if suspect and suspect.crashes < CRASHES_TO_QUARANTINE:
        del state.by_fingerprint[fingerprint]


def expire(state: QuarantineState, now_ms: float) -> None:
    """Remove expired fingerprints."""
    expired = [
        key
        for key, suspect in state.by_fingerprint.items()
        if now_ms >= suspect.expires_at_ms
    ]
    for key in expired:
        del state.by_fingerprint[key]


def _find_live(
    state: QuarantineState, fingerprint: str, now_ms: float
) -> Suspect | None:
    suspect = state.by_fingerprint.get(fingerprint)
    if suspect is None or now_ms >= suspect.expires_at_ms:
        return None
    return suspect


def _get_ttl_ms(crashes: int) -> int:
    quarantined = crashes >= CRASHES_TO_QUARANTINE
    return QUARANTINE_MS if quarantined else SUSPECT_MS
