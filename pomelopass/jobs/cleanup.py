"""Remove jobs that nobody may read any more."""

import asyncio
from collections import abc

from ..core import rendezvous
from ..fleet import member
from . import job as jobs
from ..reporting import logevents
from . import rowcodec
from ..table import rows

__all__ = ['Cleaner', 'is_expired']

CHECK_EVERY_S = 5.0
# Slack for clocks and for readers that are under way.
SLACK_MS = 15_000
# A job that its trainer never ended is kept this many times as long.
FORGOTTEN_FACTOR = 10
REMOVES_AT_ONCE = 90


def is_expired(record: jobs.JobRecord, kept_ms: float, now_ms: float) -> bool:
    """Say whether a job has been kept for as long as was promised."""
    age_ms = now_ms - record.accepted_ms - SLACK_MS
    if record.ended:
        return age_ms > kept_ms
    return not record.is_open and age_ms > kept_ms * FORGOTTEN_FACTOR


class Cleaner:
    """Remove the rows of each job by the one instance that should."""

    def __init__(
        self,
        name: str,
        table: rows.RowTable,
        membership: member.Membership,
        get_records: abc.Callable[[], list[tuple[jobs.JobRecord, int]]],
        kept_ms: float,
        get_table_ms: abc.Callable[[], float],
        write_event: logevents.WriteEvent,
    ):
        self.name = name
        self.table = table
        self.membership = membership
        self.get_records = get_records
        self.kept_ms = kept_ms
        self.get_table_ms = get_table_ms
        self.write_event = write_event

    async def run(self) -> None:
        """Clean up until cancelled."""
        while True:
            await asyncio.sleep(CHECK_EVERY_S)
            now_ms = self.get_table_ms()
            for record, version in self.get_records():
                if not is_expired(record, self.kept_ms, now_ms):
                    continue
                if not self._is_mine(record.id):
                    continue
                try:
                    await self._remove(record, version)
                except rows.TableError as error:
                    self.write_event(
                        logevents.JobNotRemoved(
                            job=record.id, detail=error.detail
                        )
                    )

    def _is_mine(self, job_id: str) -> bool:
        now = asyncio.get_running_loop().time()
        names = [one.name for one in self.membership.get_alive(now)]
        return bool(names) and rendezvous.rank(job_id, names)[0] == self.name

    async def _remove(self, record: jobs.JobRecord, version: int) -> None:
        key = rowcodec.make_record_key(record.id)
        names = []
        for wanted in (
            rowcodec.make_result_range(record.id, 0),
            rowcodec.make_progress_range(record.id),
            rowcodec.make_submission_range(record.id),
        ):
            async for some in rows.read_all(self.table, wanted):
                names.extend(row.name for row in some)
        batches = [
            names[start : start + REMOVES_AT_ONCE]
            for start in range(0, len(names), REMOVES_AT_ONCE)
        ]
        # The record goes last: while it is there, the rest can be found.
        for batch in [*batches, [key]]:
            outcome = await self.table.transact(
                rows.Transaction(
                    expected=((key, version),), removes=tuple(batch)
                )
            )
            if isinstance(outcome, rows.Conflict):
                return
        self.write_event(
            logevents.JobRemoved(job=record.id, rows=len(names) + 1)
        )
