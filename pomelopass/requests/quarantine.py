"""Stop requests that crash the endpoints that run them."""

import dataclasses

import xxhash

from . import call as calls

__all__ = ['Quarantine', 'get_fingerprint']

CRASHES_TO_BLOCK = 3
# A false suspicion ends by itself after this time.
CRASH_TTL_MS = 30_000.0
MAX_SHARED = 20


@dataclasses.dataclass(slots=True)
class _Suspect:
    crashes: int
    expires_at: float


class Quarantine:
    """Hold the crashes that this instance and others have seen.

    Such a request comes again under new ids: its content names it.
    """

    def __init__(self) -> None:
        self.own_by_fingerprint: dict[str, _Suspect] = {}
        self.crashes_by_instance: dict[str, dict[str, int]] = {}

    def note_crash(self, fingerprint: str, now: float) -> None:
        """Count an endpoint that crashed while it ran the content."""
        known = self._find(fingerprint, now)
        crashes = known.crashes + 1 if known is not None else 1
        self.own_by_fingerprint[fingerprint] = _Suspect(
            crashes, now + CRASH_TTL_MS / 1000
        )

    def note_answered(self, fingerprint: str) -> None:
        """Clear a content that an endpoint has run to its end."""
        self.own_by_fingerprint.pop(fingerprint, None)

    def record_reported_crashes(
        self, instance: str, crashes: dict[str, int]
    ) -> None:
        """Take in what another instance has counted."""
        if crashes:
            self.crashes_by_instance[instance] = crashes
        else:
            self.crashes_by_instance.pop(instance, None)

    def get_recent_crashes(self, now: float) -> dict[str, int]:
        """Return the newest own counts, for the others."""
        live = {
            fingerprint: one
            for fingerprint, one in self.own_by_fingerprint.items()
            if one.expires_at > now
        }
        self.own_by_fingerprint = live
        newest = list(live.items())[-MAX_SHARED:]
        return {fingerprint: one.crashes for fingerprint, one in newest}

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Say whether the content has crashed too many endpoints."""
        if not self.own_by_fingerprint and not self.crashes_by_instance:
            return False
        known = self._find(fingerprint, now)
        crashes = known.crashes if known is not None else 0
        for counted in self.crashes_by_instance.values():
            crashes += counted.get(fingerprint, 0)
        return crashes >= CRASHES_TO_BLOCK

    def _find(self, fingerprint: str, now: float) -> _Suspect | None:
        known = self.own_by_fingerprint.get(fingerprint)
        if known is None or known.expires_at <= now:
            return None
        return known


def get_fingerprint(call: calls.Call) -> str:
    """Return a name for the content of a request, whatever its id."""
    digest = xxhash.xxh3_64(call.body)
    digest.update(f'\0{call.method}\0{call.host}\0{call.target}'.encode())
    return digest.hexdigest()
