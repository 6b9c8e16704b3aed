"""Decide how long to pause between the polls of a busy table.

The load pattern: 3,000 engines write their entries every 1.2 s, so that each
poll returns at once with the few rows written since the last one. A poll costs
an instance as much as some 50 rows do, and the table a call.
"""

import math

__all__ = ['FeedPace']

RATE_WINDOW_S = 1.0
# Up to 120 endpoints cause fewer rows; their feed is followed without a pause.
UNPACED_ROWS_PER_S = 100.0
FULLY_PACED_ROWS_PER_S = 1000.0


class FeedPace:
    """Pause after each answer of a feed, by the rows that it brings."""

    def __init__(self, max_pause_ms: float):
        self.max_pause_ms = max_pause_ms
        # Smoothed over a second.
        self.rows_per_s = 0.0
        self.updated_at = float('-inf')
        self.row_count = 0
        self.is_cut_off = False

    def record(self, row_count: int, now: float) -> None:
        """Record the rows of an answer, at a time in seconds."""
        passed_s = now - self.updated_at
        self.rows_per_s *= math.exp(-passed_s / RATE_WINDOW_S)
        self.rows_per_s += row_count / RATE_WINDOW_S
        self.updated_at = now
        # Two answers of one length may be cut off at a limit of the service.
        self.is_cut_off = row_count == self.row_count
        self.row_count = row_count

    def get_pause_ms(self) -> float:
        """Return the pause before the next poll."""
        if self.is_cut_off:
            return 0.0
        surplus_per_s = max(0.0, self.rows_per_s - UNPACED_ROWS_PER_S)
        range_per_s = FULLY_PACED_ROWS_PER_S - UNPACED_ROWS_PER_S
        return self.max_pause_ms * min(1.0, surplus_per_s / range_per_s)
