"""Decide which windows are closed and what their reports count."""

import collections
from collections import abc

from . import rowcodec

__all__ = [
    'CLOSE_SHARE',
    'CountWait',
    'get_closed_window',
    'get_counted_window',
    'get_first_window',
    'sum_window',
]

# Share of the time until a report is due after which the counts are summed.
# Requests that were sent near the end have been answered or refused by then.
# The rest is left for a new holder of the duty, which waits for the lease.
CLOSE_SHARE = 0.2
# Windows before the first agreement on a clock that are reported as well:
# requests are served for some seconds before it.
WINDOWS_BEFORE_START = 2
# Limit of the wait for counts: those of an instance that has just died, and is
# still considered alive, never arrive.
MAX_COUNT_WAIT_MS = 3000.0


class CountWait:
    """Bounded wait for the counts of all live instances.

    The load pattern: one instance is late with its counts for a window, and
    another one for the next.
    """

    def __init__(self) -> None:
        # In seconds of the event loop; None while nothing is waited for.
        self.began_at: float | None = None
        # Last window for which the wait ran out.
        self.expired_to = -1

    def choose(self, counted: int | None, closed: int, now: float) -> int:
        """Return the last window to sum now.

        Take the last window that all live instances counted, None without
        any instance, and the last one that may be summed.
        """
        if counted is None or counted >= closed:
            self.began_at = None
            return closed
        if self.began_at is None:
            self.began_at = now
        waited_ms = (now - self.began_at) * 1000
        if closed > self.expired_to and waited_ms < MAX_COUNT_WAIT_MS:
            return counted
        # Later windows have a wait of their own.
        self.began_at = None
        self.expired_to = max(self.expired_to, closed)
        return closed


def get_closed_window(true_ms: float, window_ms: float, late_ms: float) -> int:
    """Return the last window that may be summed."""
    return int((true_ms - late_ms * CLOSE_SHARE) // window_ms) - 1


def get_first_window(true_ms: float, window_ms: float) -> int:
    """Return the window to report first where none was reported yet."""
    return max(int(true_ms // window_ms) - WINDOWS_BEFORE_START, 0)


def get_counted_window(
    row_by_incarnation: abc.Mapping[str, rowcodec.CountRow],
    live_incarnations: abc.Iterable[str],
) -> int | None:
    """Return the last window of which all live instances wrote all counts.

    The load pattern: after an outage of the table, the rows of most instances
    are as old as the outage. Return None if there is no live instance.
    """
    counted = [
        row_by_incarnation[incarnation].counted_to
        if incarnation in row_by_incarnation
        else -1
        for incarnation in live_incarnations
    ]
    return min(counted, default=None)


def sum_window(
    window: int, count_rows: abc.Iterable[rowcodec.CountRow]
) -> dict[str, int]:
    """Return the requests of each workspace, of all instances together."""
    total: collections.Counter[str] = collections.Counter()
    for row in count_rows:
        total.update(row.windows.get(str(window), {}))
    return {name: count for name, count in total.items() if count}
