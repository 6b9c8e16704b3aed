"""Decide which windows are closed and what their reports count."""

import collections
from collections import abc

from . import rowcodec

__all__ = [
    'CLOSE_SHARE',
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
