"""Remove jobs whose retention period is over."""

import asyncio
from collections import abc

from ..core import rendezvous
from ..fleet import member
from . import job as jobs
from ..reporting import logevents
from . import rowcodec
from ..table import rows

__all__ = ['Cleaner', 'is_expired']

CHECK_INTERVAL_S = 5.0
# Allows for clock skew and for reads in progress.
SLACK_MS = 15_000
# Jobs that their trainer never ended are retained this many times as long.
ABANDONED_FACTOR = 10
MAX_REMOVES_PER_WRITE = 90


def is_expired(
    record: jobs.JobRecord, retention_ms: float, now_ms: float
) -> bool:
    """Return whether the retention period of a job is over."""
    age_ms = now_ms - record.accepted_ms - SLACK_MS
    if record.ended:
        return age_ms > retention_ms
    return not record.is_open and age_ms > retention_ms * ABANDONED_FACTOR


class Cleaner:
    """Remove expired jobs; one instance is responsible for each job."""

    def __init__(
        self,
        name: str,
        table: rows.RowTable,
        membership: member.Membership,
        get_records: abc.Callable[[], list[tuple[jobs.JobRecord, int]]],
        retention_ms: float,
        get_table_ms: abc.Callable[[], float],
        write_event: logevents.WriteEvent,
    ):
        self.name = name
        self.table = table
        self.membership = membership
        self.get_records = get_records
        self.retention_ms = retention_ms
        self.get_table_ms = get_table_ms
        self.write_event = write_event

    async def run(self) -> None:
        """Remove expired jobs until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_ms = self.get_table_ms()
            for record, version in self.get_records():
                if not is_expired(record, self.retention_ms, now_ms):
                    continue
                if not self._is_responsible(record.id):
                    continue
                try:
                    await self._remove(record, version)
                except rows.TableError as error:
                    self.write_event(
                        logevents.JobNotRemoved(
                            job=record.id, detail=error.detail
                        )
                    )

    def _is_responsible(self, job_id: str) -> bool:
        now = asyncio.get_running_loop().time()
        names = [peer.name for peer in self.membership.get_alive(now)]
        return bool(names) and rendezvous.rank(job_id, names)[0] == self.name

    async def _remove(self, record: jobs.JobRecord, version: int) -> None:
        key = rowcodec.make_record_key(record.id)
        names = []
        for key_range in (
            rowcodec.make_result_range(record.id, 0),
            rowcodec.make_progress_range(record.id),
            rowcodec.make_submission_range(record.id),
        ):
            async for page in rows.read_all(self.table, key_range):
                names.extend(row.name for row in page)
        batches = [
            names[start : start + MAX_REMOVES_PER_WRITE]
            for start in range(0, len(names), MAX_REMOVES_PER_WRITE)
        ]
        # The record is removed last: the other rows are found through it.
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
