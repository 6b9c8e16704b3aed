"""Block requests that crash the endpoints that run them."""

import dataclasses

import xxhash

from . import call as calls

__all__ = ['Quarantine', 'get_fingerprint']

CRASHES_TO_BLOCK = 3
CRASH_TTL_MS = 30_000.0
# A request that is blocked by mistake runs after the first of them. Each
# further crash, by a single one then, begins the next.
BLOCK_MS = (30_000.0, 120_000.0, 600_000.0, 86_400_000.0)
MAX_BLOCKS = 1000
MAX_REPORTED_FINGERPRINTS = 20


@dataclasses.dataclass(slots=True)
class _CrashRecord:
    crashes: int
    expires_at: float


@dataclasses.dataclass(slots=True)
class _Block:
    """Number of blocks of a content; end of the last one, in seconds."""

    rounds: int
    until: float


class Quarantine:
    """Crash counts from this instance and from the others.

    A retry arrives under a new id, so the content identifies a request.
    """

    def __init__(self) -> None:
        self.own_record_by_fingerprint: dict[str, _CrashRecord] = {}
        self.crashes_by_instance: dict[str, dict[str, int]] = {}
        # Part of a report that no longer counts, by instance and fingerprint.
        self.dismissed_by_report: dict[tuple[str, str], int] = {}
        # Blocks that are over are kept: the content may crash once more.
        self.block_by_fingerprint: dict[str, _Block] = {}

    def record_crash(self, fingerprint: str, now: float) -> None:
        """Count a crash of an endpoint that was running the content."""
        record = self._find_live(fingerprint, now)
        crashes = record.crashes + 1 if record is not None else 1
        self.own_record_by_fingerprint[fingerprint] = _CrashRecord(
            crashes, now + CRASH_TTL_MS / 1000
        )
        self._update_block(fingerprint, now)

    def clear(self, fingerprint: str | None, now: float) -> None:
        """Reset all counts after an endpoint ran the content to its end.

        Other instances learn it from an own count of zero.
        """
        if fingerprint is None:
            return
        block = self.block_by_fingerprint.pop(fingerprint, None)
        if block is None and not self._count(fingerprint, now):
            return
        self.own_record_by_fingerprint[fingerprint] = _CrashRecord(
            0, now + CRASH_TTL_MS / 1000
        )
        self._dismiss_reports(fingerprint)

    def record_reported_crashes(
        self, instance: str, crashes: dict[str, int], now: float
    ) -> None:
        """Replace the crash counts reported by another instance."""
        known = self.crashes_by_instance.get(instance, {})
        for fingerprint, count in crashes.items():
            if count == 0 and known.get(fingerprint) != 0:
                self.own_record_by_fingerprint.pop(fingerprint, None)
                self.block_by_fingerprint.pop(fingerprint, None)
                self._dismiss_reports(fingerprint)
        if crashes:
            self.crashes_by_instance[instance] = crashes
        else:
            self.crashes_by_instance.pop(instance, None)
        for fingerprint, count in crashes.items():
            if count > known.get(fingerprint, 0):
                self._update_block(fingerprint, now)

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
        block = self.block_by_fingerprint.get(fingerprint)
        return block is not None and now < block.until

    def _update_block(self, fingerprint: str, now: float) -> None:
        """Block a content after a further crash if it crashed too many."""
        block = self.block_by_fingerprint.get(fingerprint)
        if block is None:
            if self._count(fingerprint, now) < CRASHES_TO_BLOCK:
                return
            block = _Block(0, now)
        if now < block.until:
            # Attempts from before the block may still crash endpoints.
            return
        block_ms = BLOCK_MS[min(block.rounds, len(BLOCK_MS) - 1)]
        block.until = now + block_ms / 1000
        block.rounds += 1
        self.block_by_fingerprint.pop(fingerprint, None)
        self.block_by_fingerprint[fingerprint] = block
        if len(self.block_by_fingerprint) > MAX_BLOCKS:
            del self.block_by_fingerprint[
                next(iter(self.block_by_fingerprint))
            ]

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
    if call.workspace:
        # One workspace must not block the requests of another.
        digest.update(f'\0{call.workspace}'.encode())
    return digest.hexdigest()
