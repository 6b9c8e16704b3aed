"""Read and write the rows of usage reports as holder of the duty."""

import asyncio
import dataclasses

from ..leadership import duty
from . import report as reports
from . import rowcodec
from ..table import rows

__all__ = ['SUBJECT', 'ReportStore', 'StoredReports', 'StoreConflictError']

# All windows form one subject.
SUBJECT = 'windows'
# Accepted reports that are kept for diagnosis: two minutes of windows of 5 s.
KEPT_REPORTS = 24


class StoreConflictError(Exception):
    """Another instance changed the rows: they must be read again."""


@dataclasses.dataclass(slots=True)
class StoredReports:
    """The rows of reports, as the holder read or wrote them."""

    # None before the first agreement on a clock.
    progress: rowcodec.Progress | None
    progress_version: int
    body_by_window: dict[int, bytes]

    def get_unaccepted(self) -> list[reports.Report]:
        """Return the reports that are not known to be accepted, in order."""
        reported_to = self.progress.reported_to if self.progress else -1
        return [
            reports.Report(window, body)
            for window, body in sorted(self.body_by_window.items())
            if window > reported_to
        ]

    def get_last_window(self) -> int:
        """Return the last window that has a report."""
        return max([self.progress.reported_to, *self.body_by_window])


class ReportStore:
    """Rows of reports; each write is conditional on the duty's row.

    A write of a former holder is thus never applied, however late it arrives.
    """

    def __init__(self, table: rows.RowTable, usage_duty: duty.Duty):
        self.table = table
        self.duty = usage_duty

    async def read(self) -> StoredReports:
        """Read the progress and all stored reports; raise TableError."""
        progress, version = await self._read_progress()
        body_by_window: dict[int, bytes] = {}
        async for page in rows.read_all(
            self.table, rows.Range(rowcodec.REPORT_TABLE, '')
        ):
            for row in page:
                if row.value is not None and row.name.key.isdecimal():
                    window = rowcodec.parse_window(row.name)
                    body_by_window[window] = row.value
        return StoredReports(progress, version, body_by_window)

    async def read_counts(self) -> list[tuple[rows.Row, rowcodec.CountRow]]:
        """Read the counts of all starts of instances; raise TableError."""
        # Sequential reads of all parts may take longer than the grant.
        found_by_part = await asyncio.gather(
            *(self._read_part(part) for part in rowcodec.COUNT_PARTS)
        )
        return [item for found in found_by_part for item in found]

    async def _read_part(
        self, part: str
    ) -> list[tuple[rows.Row, rowcodec.CountRow]]:
        found = []
        async for page in rows.read_all(
            self.table, rows.Range(rowcodec.COUNT_TABLE, part)
        ):
            for row in page:
                try:
                    found.append((row, rowcodec.decode_counts(row.value)))
                except ValueError:
                    # A malformed row must not block the report.
                    continue
        return found

    async def put_progress(
        self, stored: StoredReports, progress: rowcodec.Progress
    ) -> None:
        """Write the progress and remove reports that are no longer needed.

        Raise TableError or StoreConflictError.
        """
        outdated = [
            window
            for window in stored.body_by_window
            if window <= progress.reported_to - KEPT_REPORTS
        ]
        outcome = await self._write(
            stored,
            puts=((rowcodec.PROGRESS_KEY, rowcodec.encode_row(progress)),),
            removes=tuple(
                rowcodec.make_report_key(window) for window in outdated
            ),
        )
        stored.progress = progress
        stored.progress_version = outcome.version
        for window in outdated:
            del stored.body_by_window[window]

    async def add(
        self, stored: StoredReports, added: list[reports.Report]
    ) -> None:
        """Store reports of windows that have none.

        Raise TableError or StoreConflictError.
        """
        keys = [rowcodec.make_report_key(report.window) for report in added]
        await self._write(
            stored,
            expected=tuple((key, rows.ABSENT) for key in keys),
            puts=tuple(
                (key, report.body)
                for key, report in zip(keys, added, strict=True)
            ),
        )
        for report in added:
            stored.body_by_window[report.window] = report.body

    async def remove_counts(self, outdated: list[rows.Row]) -> None:
        """Remove rows of counts unless they changed; raise TableError."""
        for row in outdated:
            await self.table.transact(
                rows.Transaction(
                    expected=((row.name, row.version),), removes=(row.name,)
                )
            )

    async def _write(
        self,
        stored: StoredReports,
        expected: tuple[tuple[rows.Key, int], ...] = (),
        puts: tuple[tuple[rows.Key, bytes], ...] = (),
        removes: tuple[rows.Key, ...] = (),
    ) -> rows.Applied:
        outcome = await self.table.transact(
            rows.Transaction(
                expected=(
                    self.duty.get_condition(SUBJECT),
                    (rowcodec.PROGRESS_KEY, stored.progress_version),
                    *expected,
                ),
                puts=puts,
                removes=removes,
            )
        )
        if isinstance(outcome, rows.Conflict):
            raise StoreConflictError
        return outcome

    async def _read_progress(
        self,
    ) -> tuple[rowcodec.Progress | None, int]:
        key = rowcodec.PROGRESS_KEY
        page = await self.table.read(
            rows.Range(key.table, key.part, key.key, f'{key.key}\0', 1)
        )
        for row in page.rows:
            return rowcodec.decode_progress(row.value), row.version
        return None, rows.ABSENT
