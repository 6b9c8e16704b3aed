"""Block requests that crash the endpoints that run them."""

import dataclasses

import xxhash

from . import call as calls

__all__ = ['Quarantine', 'get_fingerprint']

CRASHES_TO_BLOCK = 3
# Limits how long a request is blocked by mistake.
CRASH_TTL_MS = 30_000.0
MAX_REPORTED_FINGERPRINTS = 20


@dataclasses.dataclass(slots=True)
class _CrashRecord:
    crashes: int
    expires_at: float


class Quarantine:
    """Crash counts from this instance and from the others.

    A retry arrives under a new id, so the content identifies a request.
    """

    def __init__(self) -> None:
        self.own_record_by_fingerprint: dict[str, _CrashRecord] = {}
        self.crashes_by_instance: dict[str, dict[str, int]] = {}
        # Part of a report that no longer counts, by instance and fingerprint.
        self.dismissed_by_report: dict[tuple[str, str], int] = {}

    def record_crash(self, fingerprint: str, now: float) -> None:
        """Count a crash of an endpoint that was running the content."""
        record = self._find_live(fingerprint, now)
        crashes = record.crashes + 1 if record is not None else 1
        self.own_record_by_fingerprint[fingerprint] = _CrashRecord(
            crashes, now + CRASH_TTL_MS / 1000
        )

    def clear(self, fingerprint: str | None, now: float) -> None:
        """Reset all counts after an endpoint ran the content to its end.

        Other instances learn it from an own count of zero.
        """
        if fingerprint is None or not self._count(fingerprint, now):
            return
        self.own_record_by_fingerprint[fingerprint] = _CrashRecord(
            0, now + CRASH_TTL_MS / 1000
        )
        self._dismiss_reports(fingerprint)

    def record_reported_crashes(
        self, instance: str, crashes: dict[str, int]
    ) -> None:
        """Replace the crash counts reported by another instance."""
        known = self.crashes_by_instance.get(instance, {})
        for fingerprint, count in crashes.items():
            if count == 0 and known.get(fingerprint) != 0:
                self.own_record_by_fingerprint.pop(fingerprint, None)
                self._dismiss_reports(fingerprint)
        if crashes:
            self.crashes_by_instance[instance] = crashes
        else:
            self.crashes_by_instance.pop(instance, None)

    def get_recent_crashes(self, now: float) -> dict[str, int]:
        """Return the newest own counts, to be reported to other instances."""
        live_by_fingerprint = {
            fingerprint: record
            for fingerprint, record in self.own_record_by_fingerprint.items()
            if record.expires_at > now
        }
        self.own_record_by_fingerprint = live_by_fingerprint
        newest = list(live_by_fingerprint.items())[-MAX_REPORTED_FINGERPRINTS:]
        return {fingerprint: record.crashes for fingerprint, record in newest}

    def is_quarantined(self, fingerprint: str | None, now: float) -> bool:
        """Return whether the content has crashed too many endpoints."""
        if fingerprint is None:
            return False
        return self._count(fingerprint, now) >= CRASHES_TO_BLOCK

    def _count(self, fingerprint: str, now: float) -> int:
        if not self.own_record_by_fingerprint and not self.crashes_by_instance:
            return 0
        record = self._find_live(fingerprint, now)
        crashes = record.crashes if record is not None else 0
        for (
            instance,
            crashes_by_fingerprint,
        ) in self.crashes_by_instance.items():
            reported = crashes_by_fingerprint.get(fingerprint, 0)
            dismissed = self.dismissed_by_report.get(
                (instance, fingerprint), 0
            )
            crashes += max(reported - dismissed, 0)
        return crashes

    def _dismiss_reports(self, fingerprint: str) -> None:
        # Crashes that were reported before the content ran to its end.
        self.dismissed_by_report = {
            (instance, name): count
            for (instance, name), count in self.dismissed_by_report.items()
            if name in self.crashes_by_instance.get(instance, {})
        }
        for instance, crashes in self.crashes_by_instance.items():
            if crashes.get(fingerprint):
                self.dismissed_by_report[instance, fingerprint] = crashes[
                    fingerprint
                ]

    def _find_live(self, fingerprint: str, now: float) -> _CrashRecord | None:
        record = self.own_record_by_fingerprint.get(fingerprint)
        if record is None or record.expires_at <= now:
            return None
        return record


def get_fingerprint(call: calls.Call) -> str:
    """Return a hash of the content of a request, independent of its id."""
    digest = xxhash.xxh3_64(call.body)
    digest.update(f'\0{call.method}\0{call.host}\0{call.target}'.encode())
    return digest.hexdigest()
