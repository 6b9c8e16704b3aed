"""Derive UTC from the table's clock and an offset that the fleet agrees on.

The load pattern: the wall clocks of instances differ, and some step by
seconds, so that the same request would fall into another window at each of
them. All instances see the same clock of the table service.
"""

import asyncio
from collections import abc
import statistics

__all__ = ['OffsetAgreement', 'UsageClock']

# The fastest answer within this time determines the table's clock; older ones
# are dropped, as the loop's clock drifts against the table's.
SPAN_S = 10.0
# Smaller differences of offsets are measurement noise.
NOISE_MS = 100.0
# The agreed offset follows a step of most clocks after this many consecutive
# rounds; there is about one round for each window.
LASTING_ROUNDS = 3
# Wall clocks differ by seconds. A larger error of the agreed offset means that
# the table's clock was reset.
MAX_ERROR_MS = 30_000.0
# Without an agreement for this long, an instance uses its own offset.
OWN_OFFSET_AFTER_S = 20.0


class UsageClock:
    """Clock of one instance for the windows of usage reports."""

    def __init__(
        self,
        get_table_offset_ms: abc.Callable[[], float | None],
        get_utc_ms: abc.Callable[[], float],
    ):
        # Table time less loop time by the last answer; None before one.
        self.get_table_offset_ms = get_table_offset_ms
        self.get_utc_ms = get_utc_ms
        self.agreed_offset_ms: float | None = None
        self.best_offset_ms: float | None = None
        self.previous_best_ms: float | None = None
        self.span_began_at = float('-inf')
        self.first_known_at: float | None = None

    def sample(self) -> None:
        """Update the table's clock from its last answer.

        A slow answer makes the table's clock seem slow, never fast.
        """
        offset_ms = self.get_table_offset_ms()
        if offset_ms is None:
            return
        now = asyncio.get_running_loop().time()
        if self.first_known_at is None:
            self.first_known_at = now
        if now - self.span_began_at > SPAN_S:
            self.previous_best_ms = self.best_offset_ms
            self.best_offset_ms = None
            self.span_began_at = now
        if self.best_offset_ms is None or offset_ms > self.best_offset_ms:
            self.best_offset_ms = offset_ms

    def get_table_ms(self, at: float) -> float | None:
        """Return the table's time at a time of the event loop."""
        self.sample()
        known = [
            offset_ms
            for offset_ms in (self.best_offset_ms, self.previous_best_ms)
            if offset_ms is not None
        ]
        return at * 1000 + max(known) if known else None

    def get_own_offset_ms(self) -> float | None:
        """Return UTC of this instance less the table's time."""
        now = asyncio.get_running_loop().time()
        table_ms = self.get_table_ms(now)
        return None if table_ms is None else self.get_utc_ms() - table_ms

    def get_true_ms(self, at: float) -> float | None:
        """Return UTC at a time of the event loop; None if unknown yet."""
        table_ms = self.get_table_ms(at)
        if table_ms is None:
            return None
        offset_ms = self.agreed_offset_ms
        if not self.fits(offset_ms):
            offset_ms = None
        if offset_ms is None and self._is_agreement_overdue():
            offset_ms = self.get_own_offset_ms()
        return None if offset_ms is None else table_ms + offset_ms

    def fits(self, offset_ms: float | None) -> bool:
        """Return whether an offset is near that of the own wall clock."""
        own_ms = self.get_own_offset_ms()
        if offset_ms is None or own_ms is None:
            return False
        return abs(offset_ms - own_ms) <= MAX_ERROR_MS

    def _is_agreement_overdue(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now - self.first_known_at > OWN_OFFSET_AFTER_S


class OffsetAgreement:
    """Choice of one offset from those that the instances measured."""

    def __init__(self) -> None:
        self.changed_ms: float | None = None
        self.rounds = 0

    def choose(
        self,
        agreed_ms: float | None,
        offsets_ms: abc.Collection[float],
        instance_count: int,
    ) -> float | None:
        """Return the offset to agree on; None while too few are known.

        The median is right as long as fewer than half of the clocks are off.
        """
        if not offsets_ms or 2 * len(offsets_ms) < instance_count:
            return agreed_ms
        middle_ms = statistics.median(offsets_ms)
        if agreed_ms is None:
            return middle_ms
        if abs(middle_ms - agreed_ms) <= NOISE_MS:
            self.rounds = 0
            return agreed_ms
        is_same = (
            self.rounds > 0 and abs(middle_ms - self.changed_ms) <= NOISE_MS
        )
        self.rounds = self.rounds + 1 if is_same else 1
        self.changed_ms = middle_ms
        if self.rounds < LASTING_ROUNDS:
            return agreed_ms
        self.rounds = 0
        return middle_ms
