"""Read and write jobs in the table service."""

import asyncio
import dataclasses
import zlib

from . import job as jobs
from . import progress as progresses
from . import rowcodec
from ..table import rows

__all__ = ['JobTable', 'Settled', 'StoredJob']

RETRY_PAUSE_MS = 60.0
MAX_WRITES = 80
MAX_WRITE_BYTES = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class StoredJob:
    """Hold a record and the version of its row; no record if absent."""

    record: jobs.JobRecord | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """Say whether a write was applied, and what the row holds now.

    A write that was not settled may still be applied, seconds later, as
    long as its condition holds.
    """

    applied: bool
    current: StoredJob
    is_settled: bool = True
    may_be_applied: bool = False


class JobTable:
    """Write each job under a condition on the version of its record."""

    def __init__(self, table: rows.RowTable):
        self.table = table

    async def fetch(self, job_id: str) -> StoredJob:
        """Return the present record of a job; raise TableError."""
        key = rowcodec.make_record_key(job_id)
        page = await self.table.read(
            rows.Range(key.table, key.part, key.key, f'{key.key}\0', 1)
        )
        return _decode_stored(page.rows)

    async def fetch_submission(self, job_id: str) -> jobs.Submission:
        """Return a job as it was submitted; raise TableError."""
        values = []
        wanted = rowcodec.make_submission_range(job_id)
        async for some in rows.read_all(self.table, wanted):
            values.extend(row.value for row in some)
        try:
            return rowcodec.decode_submission(values)
        except (ValueError, zlib.error) as error:
            raise rows.TableError(str(error), False) from None

    async def fetch_results(
        self, job_id: str, first: int
    ) -> dict[int, jobs.Result]:
        """Return the results of one page by position; raise TableError."""
        page = await self.table.read(rowcodec.make_result_range(job_id, first))
        return rowcodec.decode_results(list(page.rows))

    async def fetch_progress(
        self, job_id: str
    ) -> dict[str, progresses.Progress]:
        """Return the unfinished texts by item; raise TableError."""
        found = {}
        wanted = rowcodec.make_progress_range(job_id)
        async for some in rows.read_all(self.table, wanted):
            for row in some:
                try:
                    item_id, progress = rowcodec.decode_progress(row)
                except ValueError as error:
                    raise rows.TableError(str(error), False) from None
                found[item_id] = progress
        return found

    async def save_progress(
        self,
        job_id: str,
        version: int,
        puts: list[tuple[rows.Key, bytes]],
    ) -> None:
        """Keep unfinished texts if the record is at the version."""
        key = rowcodec.make_record_key(job_id)
        await self.table.transact(
            rows.Transaction(expected=((key, version),), puts=tuple(puts))
        )

    async def fetch_all_results(self, job_id: str) -> dict[int, jobs.Result]:
        """Return all results by position; raise TableError."""
        found = []
        wanted = rowcodec.make_result_range(job_id, 0)
        async for some in rows.read_all(self.table, wanted):
            found.extend(some)
        return rowcodec.decode_results(found)

    async def write(
        self,
        record: jobs.JobRecord,
        version: int,
        puts: list[tuple[rows.Key, bytes]],
        give_up_at: float,
    ) -> Settled:
        """Write a record and more rows if the record is at the version.

        A call whose outcome is unknown is sent again under the same
        condition until an answer settles it or the time is over.
        """
        loop = asyncio.get_running_loop()
        key = rowcodec.make_record_key(record.id)
        transaction = rows.Transaction(
            expected=((key, version),),
            puts=((key, rowcodec.encode_record(record)), *puts),
        )
        may_be_applied = False
        while True:
            try:
                outcome = await self.table.transact(transaction)
            except rows.TableError as error:
                may_be_applied = may_be_applied or error.may_have_run
            else:
                return _settle(record, outcome)
            if loop.time() >= give_up_at:
                current = StoredJob(None, version)
                return Settled(False, current, False, may_be_applied)
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def write_parts(self, puts: list[tuple[rows.Key, bytes]]) -> None:
        """Write rows that no reader looks at yet; raise TableError."""
        for batch in split_writes(puts):
            await self.table.transact(rows.Transaction(puts=tuple(batch)))


def split_writes(
    puts: list[tuple[rows.Key, bytes]],
) -> list[list[tuple[rows.Key, bytes]]]:
    """Return the writes in batches that fit one transaction."""
    batches: list[list[tuple[rows.Key, bytes]]] = [[]]
    size = 0
    for one in puts:
        full = len(batches[-1]) >= MAX_WRITES
        if batches[-1] and (full or size + len(one[1]) > MAX_WRITE_BYTES):
            batches.append([])
            size = 0
        batches[-1].append(one)
        size += len(one[1])
    return batches


def _settle(
    record: jobs.JobRecord, outcome: rows.Applied | rows.Conflict
) -> Settled:
    if isinstance(outcome, rows.Applied):
        return Settled(True, StoredJob(record, outcome.version))
    current = _decode_stored(outcome.rows)
    # An earlier send of this very write was applied.
    return Settled(current.record == record, current)


def _decode_stored(found: tuple[rows.Row, ...]) -> StoredJob:
    for row in found:
        if row.name.table == rowcodec.JOB_TABLE and row.value is not None:
            return StoredJob(rowcodec.decode_record(row.value), row.version)
    return StoredJob(None, 0)
