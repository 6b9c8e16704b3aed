"""Report the usage of workspaces while this instance holds the duty."""

import asyncio
from collections import abc
from typing import Protocol

import xxhash

from . import clock as clocks
from ..fleet import member
from ..leadership import duty
from ..leadership import outcome as outcomes
from . import report as reports
from ..reporting import logevents
from . import rowcodec
from . import store as stores
from ..table import rows
from . import windows

__all__ = ['UsageManager', 'UsagePort']

CHECK_INTERVAL_MS = 250.0
# Pause after a failed call of the table or of the platform.
RETRY_INTERVAL_MS = 300.0
# Reports of windows that were missed are stored in groups of this size.
MAX_STORED_AT_ONCE = 20
# Another instance may reach the platform's API when this one does not. The
# limit leaves it time to wait for the lease and to report before the deadline.
GIVE_UP_UNREACHABLE_MS = 2500.0
# Longer, since an API that is slow for all instances gains nothing from a new
# holder.
GIVE_UP_UNANSWERED_MS = 10_000.0
# Time after a start within which most instances become known.
FIRST_AGREEMENT_DELAY_MS = 3000.0
# Rows of dead instances are kept for this many accepted windows, so that
# late counts can be logged.
KEPT_WINDOWS = 1


class UsagePort(Protocol):
    """Client for the platform's API for usage reports."""

    def encode_report(
        self, window: int, counts: abc.Mapping[str, int]
    ) -> bytes:
        """Return the body of the report of a window."""

    async def report_usage(
        self,
        report: reports.Report,
        holder: str,
        fence: int,
        may_send: abc.Callable[[], bool],
    ) -> outcomes.DutyOutcome:
        """Send the report of a window.

        may_send is called right before the first byte is sent; if it returns
        False, the report is withdrawn.
        """


class UsageManager:
    """Closes windows and sends their reports as holder of the duty."""

    def __init__(
        self,
        window_ms: float,
        late_ms: float,
        clock: clocks.UsageClock,
        port: UsagePort,
        usage_duty: duty.Duty,
        table: rows.RowTable,
        membership: member.Membership,
        write_event: logevents.WriteEvent,
    ):
        self.window_ms = window_ms
        self.late_ms = late_ms
        self.clock = clock
        self.port = port
        self.duty = usage_duty
        self.store = stores.ReportStore(table, usage_duty)
        self.membership = membership
        self.write_event = write_event
        self.agreement = clocks.OffsetAgreement()
        # Read again after each takeover and after each unknown write.
        self.stored: stores.StoredReports | None = None
        self.fence = 0
        self.attempts_by_window: dict[int, int] = {}
        # Accepted windows that follow one not yet accepted.
        self.accepted: set[int] = set()
        self.requests_by_window: dict[int, int] = {}
        # Start of the first of consecutive calls without an answer, in
        # seconds of the event loop, as all times below.
        self.unanswered_since: float | None = None
        # Start of the first of consecutive calls without a connection.
        self.unreachable_since: float | None = None
        self.count_wait = windows.CountWait()
        # When a call last ended without an answer.
        self.unanswered_at = float('-inf')
        self.retry_at = float('-inf')
        # Whether the last call of the table failed.
        self.is_delayed = False
        self.stopping = False
        self.agrees_from = 0.0

    async def run(self) -> None:
        """Report windows at intervals while this instance holds the duty."""
        now = asyncio.get_running_loop().time()
        self.agrees_from = now + FIRST_AGREEMENT_DELAY_MS / 1000
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            try:
                if self.stopping:
                    await self._hand_over('stopping')
                else:
                    await self._check()
            except rows.TableError as error:
                self.stored = None
                self._delay_retry()
                self._log_delay(error)
            except stores.StoreConflictError:
                self.stored = None

    def count_unreported(self) -> int:
        """Return how many stored reports are not known to be accepted."""
        return 0 if self.stored is None else len(self.stored.get_unaccepted())

    async def _check(self) -> None:
        if not self.duty.may_lead(stores.SUBJECT):
            self._record_end('lost')
            return
        now = asyncio.get_running_loop().time()
        if now < self.retry_at:
            return
        if await self._give_up_if_unanswered(now):
            return
        if self.duty.is_own(stores.SUBJECT) and not self._has_work():
            return
        grant = await self.duty.confirm(stores.SUBJECT)
        self.is_delayed = False
        if grant is None:
            if not self.duty.is_own(stores.SUBJECT):
                self._record_end('lost')
            return
        self._record_holding(grant)
        if self.stored is None:
            self.stored = await self.store.read()
        await self._close_windows()
        await self._send_reports(grant)

    def _has_work(self) -> bool:
        stored = self.stored
        if stored is None or not self._has_clock():
            return True
        if stored.get_unaccepted():
            return True
        return stored.get_last_window() < self._get_closed_window()

    def _has_clock(self) -> bool:
        progress = self.stored.progress
        return progress is not None and self.clock.fits(progress.offset_ms)

    def _get_closed_window(self) -> int:
        now = asyncio.get_running_loop().time()
        table_ms = self.clock.get_table_ms(now)
        if table_ms is None or not self._has_clock():
            return -1
        return windows.get_closed_window(
            table_ms + self.stored.progress.offset_ms,
            self.window_ms,
            self.late_ms,
        )

    async def _close_windows(self) -> None:
        """Store the reports of all windows whose counts are in."""
        stored = self.stored
        if self._has_clock() and (
            stored.get_last_window() >= self._get_closed_window()
        ):
            return
        counts = await self.store.read_counts()
        count_rows = [count_row for _, count_row in counts]
        await self._agree_on_clock(counts)
        if not self._has_clock():
            self._delay_retry()
            return
        self._log_missed(count_rows)
        first = stored.get_last_window() + 1
        closed = self._get_summed_window(first, counts)
        for begin in range(first, closed + 1, MAX_STORED_AT_ONCE):
            end = min(begin + MAX_STORED_AT_ONCE, closed + 1)
            await self._store_reports(range(begin, end), count_rows)
        await self._remove_outdated(counts)

    def _get_summed_window(
        self, first: int, counts: list[tuple[rows.Row, rowcodec.CountRow]]
    ) -> int:
        """Return the last window to sum now, below the first for none."""
        now = asyncio.get_running_loop().time()
        closed = self._get_closed_window()
        counted = windows.get_counted_window(
            {row.name.key: count_row for row, count_row in counts},
            self.membership.get_alive_incarnations(now),
        )
        last = self.count_wait.choose(counted, closed, now)
        if last < closed:
            self._delay_retry()
        return max(last, first - 1)

    async def _store_reports(
        self, numbers: range, count_rows: list[rowcodec.CountRow]
    ) -> None:
        counts_by_window = {
            window: windows.sum_window(window, count_rows)
            for window in numbers
        }
        added = [
            reports.Report(window, self.port.encode_report(window, counts))
            for window, counts in counts_by_window.items()
        ]
        await self.store.add(self.stored, added)
        for report in added:
            counts = counts_by_window[report.window]
            requests = sum(counts.values())
            self.requests_by_window[report.window] = requests
            self.write_event(
                logevents.UsageClosed(
                    window=report.window,
                    fence=self.fence,
                    requests=requests,
                    workspace_count=len(counts),
                    digest=_make_digest(report.body),
                )
            )

    async def _agree_on_clock(
        self, counts: list[tuple[rows.Row, rowcodec.CountRow]]
    ) -> None:
        now = asyncio.get_running_loop().time()
        alive = {
            instance.incarnation for instance in self.membership.get_alive(now)
        }
        offsets_ms = [
            count_row.offset_ms
            for row, count_row in counts
            if row.name.key in alive
        ]
        progress = self.stored.progress
        if progress is None and now < self.agrees_from:
            return
        agreed_ms = progress.offset_ms if self._has_clock() else None
        offset_ms = self.agreement.choose(agreed_ms, offsets_ms, len(alive))
        if offset_ms is None or offset_ms == agreed_ms:
            return
        if progress is None:
            table_ms = self.clock.get_table_ms(now)
            first = windows.get_first_window(
                table_ms + offset_ms, self.window_ms
            )
            reported_to = first - 1
        else:
            reported_to = progress.reported_to
        await self.store.put_progress(
            self.stored, rowcodec.Progress(offset_ms, reported_to)
        )
        self.write_event(
            logevents.UsageClockSet(
                offset_ms=round(offset_ms), rows=len(offsets_ms)
            )
        )

    async def _send_reports(self, grant: duty.Grant) -> None:
        """Send the stored reports until one is not accepted.

        The oldest come first; one without an answer, which may have been
        executed, delays no other.
        """
        stored = self.stored
        if stored.progress is None:
            return
        pending = [
            report
            for report in stored.get_unaccepted()
            if report.window not in self.accepted
        ]
        pending.sort(
            key=lambda report: self.attempts_by_window.get(report.window, 0)
        )
        for report in pending:
            if not self.duty.is_valid(grant):
                break
            outcome = await self._send(report, grant)
            if outcome is not outcomes.DutyOutcome.ACCEPTED:
                break
        accepted_to = stored.progress.reported_to
        while accepted_to + 1 in self.accepted:
            accepted_to += 1
            self.accepted.discard(accepted_to)
        if accepted_to > stored.progress.reported_to:
            await self.store.put_progress(
                stored,
                rowcodec.Progress(stored.progress.offset_ms, accepted_to),
            )

    async def _send(
        self, report: reports.Report, grant: duty.Grant
    ) -> outcomes.DutyOutcome:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        attempts = self.attempts_by_window.get(report.window, 0) + 1
        outcome = await self.port.report_usage(
            report,
            self.duty.name,
            grant.fence,
            lambda: not self.stopping and self.duty.is_valid(grant),
        )
        self.write_event(
            logevents.UsageReported(
                window=report.window,
                fence=grant.fence,
                outcome=outcome.value,
                attempts=attempts,
                digest=_make_digest(report.body),
                took_ms=round((loop.time() - sent_at) * 1000, 1),
            )
        )
        if outcome is outcomes.DutyOutcome.WITHDRAWN:
            return outcome
        self._record_outcome(outcome, sent_at)
        if outcome is outcomes.DutyOutcome.UNKNOWN:
            self.attempts_by_window[report.window] = attempts
        if outcome is outcomes.DutyOutcome.FENCED:
            self.duty.refuse(grant)
        if outcome is outcomes.DutyOutcome.ACCEPTED:
            self.attempts_by_window.pop(report.window, None)
            self.accepted.add(report.window)
        else:
            self._delay_retry()
        return outcome

    def _record_outcome(
        self, outcome: outcomes.DutyOutcome, sent_at: float
    ) -> None:
        if outcome is outcomes.DutyOutcome.UNREACHABLE:
            self.unreachable_since = self.unreachable_since or sent_at
            return
        self.unreachable_since = None
        if outcome is outcomes.DutyOutcome.UNKNOWN:
            self.unanswered_since = self.unanswered_since or sent_at
            self.unanswered_at = asyncio.get_running_loop().time()
            return
        self.unanswered_since = None

    async def _give_up_if_unanswered(self, now: float) -> bool:
        """Give the duty up if the platform does not answer this instance."""
        for since, limit_ms, why in (
            (self.unreachable_since, GIVE_UP_UNREACHABLE_MS, 'unreachable'),
            (self.unanswered_since, GIVE_UP_UNANSWERED_MS, 'unanswered'),
        ):
            if since is None or (now - since) * 1000 < limit_ms:
                continue
            if len(self.membership.get_alive(now)) > 1:
                await self._hand_over(why)
                return True
        return False

    async def _hand_over(self, why: str) -> None:
        """Give the duty up once no call of this instance may still run."""
        if not self.duty.is_own(stores.SUBJECT):
            self._record_end('lost')
            return
        now = asyncio.get_running_loop().time()
        settings = self.duty.settings
        is_open = (now - self.unanswered_at) * 1000 < settings.lease_ms
        if is_open and not settings.fences_are_checked:
            # The late call may still run: without a release, the next holder
            # waits as after a crash.
            return
        if await self.duty.release(stores.SUBJECT):
            self._record_end(why)

    def _record_holding(self, grant: duty.Grant) -> None:
        if grant.fence == self.fence:
            return
        self.fence = grant.fence
        self._forget()
        self.write_event(
            logevents.DutyTaken(
                duty='usage', subject=stores.SUBJECT, fence=grant.fence
            )
        )

    def _record_end(self, why: str) -> None:
        if not self.fence:
            return
        self.write_event(
            logevents.DutyEnded(
                duty='usage',
                subject=stores.SUBJECT,
                fence=self.fence,
                why=why,
            )
        )
        self.fence = 0
        self._forget()

    def _forget(self) -> None:
        self.stored = None
        self.unanswered_since = None
        self.unreachable_since = None
        self.count_wait = windows.CountWait()
        self.attempts_by_window.clear()
        self.accepted.clear()
        self.requests_by_window.clear()

    def _log_missed(self, count_rows: list[rowcodec.CountRow]) -> None:
        """Log requests that were counted after their window was summed."""
        for window, requests in list(self.requests_by_window.items()):
            counts = windows.sum_window(window, count_rows)
            missed = sum(counts.values()) - requests
            if missed > 0:
                self.write_event(
                    logevents.UsageLate(window=window, requests=missed)
                )
            del self.requests_by_window[window]

    async def _remove_outdated(
        self, counts: list[tuple[rows.Row, rowcodec.CountRow]]
    ) -> None:
        """Remove the reported counts of dead instances."""
        now = asyncio.get_running_loop().time()
        needed_from = self.stored.progress.reported_to - KEPT_WINDOWS
        outdated = [
            row
            for row, count_row in counts
            if all(int(window) < needed_from for window in count_row.windows)
            and not self.membership.is_incarnation_alive(
                count_row.name, row.name.key, now
            )
        ]
        await self.store.remove_counts(outdated)

    def _log_delay(self, error: rows.TableError) -> None:
        # Once for each outage.
        if not self.is_delayed:
            self.write_event(logevents.UsageDelayed(detail=error.detail))
        self.is_delayed = True

    def _delay_retry(self) -> None:
        now = asyncio.get_running_loop().time()
        self.retry_at = now + RETRY_INTERVAL_MS / 1000


def _make_digest(body: bytes) -> str:
    return xxhash.xxh3_64_hexdigest(body)
