"""Count the requests of workspaces that endpoints started, by window."""

import asyncio
import collections

from . import clock as clocks
from ..reporting import logevents
from ..requests import call as calls
from ..requests import start as starts
from . import rowcodec

__all__ = ['StartCounter']

# Unreported windows whose counts are kept, as during an outage of the table.
MAX_WINDOWS = 12
# Request ids that are kept to count repeated requests once.
MAX_IDS = 20_000
# The table refuses a transaction with a longer row, and so the heartbeat.
MAX_ROW_BYTES = 60_000
# Smaller changes of the measured offset are noise, and not worth a write.
OFFSET_STEP_MS = 50.0


class StartCounter:
    """Counts of one instance, which its heartbeats carry to the table."""

    def __init__(
        self,
        name: str,
        window_ms: float,
        clock: clocks.UsageClock,
        write_event: logevents.WriteEvent,
    ):
        self.name = name
        self.window_ms = window_ms
        self.clock = clock
        self.write_event = write_event
        self.counts_by_window: dict[int, collections.Counter[str]] = {}
        self.start_by_id: dict[str, _CountedStart] = {}
        # Starts whose time is known before the agreed clock is.
        self.unplaced: list[_CountedStart] = []
        self.reported_to = -1
        self.late_by_window: collections.Counter[int] = collections.Counter()
        self.stored_offset_ms: float | None = None

    def open(self, call: calls.Call) -> starts.Start:
        """Return the start of a request; it counts once by its id."""
        if not call.workspace:
            return starts.NO_START
        return _CountedStart(self, call.id, call.workspace)

    def set_progress(self, progress: rowcodec.Progress) -> None:
        """Adopt the agreed clock and drop the counts of reported windows."""
        self.clock.agreed_offset_ms = progress.offset_ms
        self.reported_to = max(self.reported_to, progress.reported_to)
        for window in list(self.counts_by_window):
            # The holder logs the late requests of the last window.
            if window < self.reported_to:
                del self.counts_by_window[window]
        self._place_waiting()

    def make_row_value(self) -> bytes | None:
        """Return the row to store with a heartbeat; None without a clock."""
        self._place_waiting()
        offset_ms = self.clock.get_own_offset_ms()
        if offset_ms is None:
            return None
        stored_ms = self.stored_offset_ms
        if stored_ms is None or abs(offset_ms - stored_ms) > OFFSET_STEP_MS:
            self.stored_offset_ms = offset_ms
        while len(self.counts_by_window) > MAX_WINDOWS:
            self._drop_oldest()
        value = rowcodec.encode_row(self._make_row())
        while len(value) > MAX_ROW_BYTES and self.counts_by_window:
            self._drop_oldest()
            value = rowcodec.encode_row(self._make_row())
        self._log_late()
        return value

    def place(self, start: '_CountedStart', at: float) -> None:
        """Count a start in the window of a time of the event loop.

        Requests with one id may wait at the same time; the first one that
        starts is counted.
        """
        if self.start_by_id.get(start.call_id, start) is not start:
            return
        is_new = start.at is None
        start.at = at
        if is_new:
            self._remember(start)
        true_ms = self.clock.get_true_ms(at)
        if true_ms is None:
            if is_new and len(self.unplaced) < MAX_IDS:
                self.unplaced.append(start)
            return
        window = int(true_ms // self.window_ms)
        if window == start.window or self._is_reported(start.window):
            return
        self._uncount(start)
        start.window = window
        if self._is_reported(window):
            self.late_by_window[window] += 1
            return
        counts = self.counts_by_window.setdefault(
            window, collections.Counter()
        )
        counts[start.workspace] += 1
        start.counts = counts

    def withdraw(self, start: '_CountedStart') -> None:
        """Count a start no longer: no endpoint ran the request."""
        if start.at is None or self._is_reported(start.window):
            return
        self._uncount(start)
        start.at = None
        start.window = None
        if self.start_by_id.get(start.call_id) is start:
            del self.start_by_id[start.call_id]

    def _drop_oldest(self) -> None:
        """Drop the counts of the oldest window; they are logged as late."""
        window = min(self.counts_by_window)
        counts = self.counts_by_window.pop(window)
        self.late_by_window[window] += counts.total()

    def _make_row(self) -> rowcodec.CountRow:
        now = asyncio.get_running_loop().time()
        true_ms = self.clock.get_true_ms(now)
        counted_to = -1
        if true_ms is not None:
            counted_to = int(true_ms // self.window_ms) - 1
        return rowcodec.CountRow(
            self.name,
            round(self.stored_offset_ms, 1),
            counted_to,
            {
                str(window): dict(counts)
                for window, counts in self.counts_by_window.items()
            },
        )

    def _is_reported(self, window: int | None) -> bool:
        return window is not None and window <= self.reported_to

    def _remember(self, start: '_CountedStart') -> None:
        self.start_by_id[start.call_id] = start
        while len(self.start_by_id) > MAX_IDS:
            del self.start_by_id[next(iter(self.start_by_id))]

    def _uncount(self, start: '_CountedStart') -> None:
        counts = start.counts
        if counts is None:
            return
        start.counts = None
        counts[start.workspace] -= 1
        if not counts[start.workspace]:
            del counts[start.workspace]

    def _place_waiting(self) -> None:
        """Count the kept starts once their windows are known."""
        now = asyncio.get_running_loop().time()
        if not self.unplaced or self.clock.get_true_ms(now) is None:
            return
        unplaced = self.unplaced
        self.unplaced = []
        for start in unplaced:
            if start.at is not None:
                self.place(start, start.at)

    def _log_late(self) -> None:
        for window, count in self.late_by_window.items():
            if count:
                self.write_event(
                    logevents.UsageLate(window=window, requests=count)
                )
        self.late_by_window.clear()


class _CountedStart:
    """The start of one request, which counts in at most one window."""

    __slots__ = ('at', 'call_id', 'counter', 'counts', 'window', 'workspace')

    def __init__(self, counter: StartCounter, call_id: str, workspace: str):
        self.counter = counter
        self.call_id = call_id
        self.workspace = workspace
        self.at: float | None = None
        self.window: int | None = None
        # Counts that include the start. They may have been dropped since, and
        # others may be kept for the same window.
        self.counts: collections.Counter[str] | None = None

    def place(self, at: float) -> None:
        """Set the start, in seconds of the event loop."""
        self.counter.place(self, at)

    def withdraw(self) -> None:
        """Record that no endpoint ran the request."""
        self.counter.withdraw(self)
