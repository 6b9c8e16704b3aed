"""Read and write jobs in the table service."""

import asyncio
import dataclasses

from . import job as jobs
from . import progress as progresses
from . import rowcodec
from ..table import rows

__all__ = ['JobTable', 'StoredJob', 'WriteResult']

RETRY_PAUSE_MS = 60.0
MAX_PUTS_PER_WRITE = 80
MAX_BYTES_PER_WRITE = 600_000
# Texts left out are generated again.
MAX_FETCHED_TEXT_BYTES = 4_194_304


@dataclasses.dataclass(frozen=True, slots=True)
class StoredJob:
    """A record and the version of its row; the record is None if absent."""

    record: jobs.JobRecord | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a write and the state of the row after it.

    A write whose outcome is not final may still be applied, seconds later,
    as long as its condition holds.
    """

    applied: bool
    current: StoredJob
    is_final: bool = True
    may_be_applied: bool = False


class JobTable:
    """Read jobs; write each only if its record is at an expected version."""

    def __init__(self, table: rows.RepeatingTable):
        self.table = table

    async def fetch(self, job_id: str) -> StoredJob:
        """Return the current record of a job; raise TableError."""
        key = rowcodec.make_record_key(job_id)
        page = await self.table.read(
            rows.Range(key.table, key.part, key.key, f'{key.key}\0', 1)
        )
        return _decode_stored(page.rows)

    async def fetch_submission(self, job_id: str) -> jobs.Submission:
        """Return a job as it was submitted; raise TableError."""
        values = []
        key_range = rowcodec.make_submission_range(job_id)
        async for page in rows.read_all(self.table, key_range):
            values.extend(row.value for row in page)
        try:
            return rowcodec.decode_submission(values)
        except ValueError as error:
            raise rows.TableError(str(error), False) from None

    async def fetch_results(
        self, job_id: str, first: int
    ) -> dict[int, jobs.Result]:
        """Return the results of one page by position; raise TableError."""
        page = await self.table.read(rowcodec.make_result_range(job_id, first))
        return rowcodec.decode_results(list(page.rows))

    async def fetch_progress(
        self, job_id: str
    ) -> dict[str, progresses.Snapshot]:
        """Return the unfinished texts by item; raise TableError.

        Those beyond the bytes that a new owner may take are left out.
        """
        snapshot_by_item = {}
        size = 0
        key_range = rowcodec.make_progress_range(job_id)
        async for page in rows.read_all(self.table, key_range):
            for row in page:
                try:
                    item_id, snapshot = rowcodec.decode_progress(row)
                except ValueError as error:
                    raise rows.TableError(str(error), False) from None
                size += snapshot.kept_bytes
                if size <= MAX_FETCHED_TEXT_BYTES:
                    snapshot_by_item[item_id] = snapshot
        return snapshot_by_item

    async def save_progress(
        self,
        job_id: str,
        version: int,
        puts: list[tuple[rows.Key, bytes]],
    ) -> None:
        """Store unfinished texts if the record is at the version."""
        key = rowcodec.make_record_key(job_id)
        await self.table.transact(
            rows.Transaction(expected=((key, version),), puts=tuple(puts))
        )

    async def fetch_listed(self, job_id: str, count: int) -> set[str]:
        """Return the items at the first positions; raise TableError.

        The texts of one page are in memory at a time.
        """
        item_ids: set[str] = set()
        pending: list[rows.Row] = []
        key_range = rowcodec.make_result_range(job_id, 0)
        async for page in rows.read_all(self.table, key_range):
            complete, pending = rowcodec.split_last_result([*pending, *page])
            item_ids |= _get_item_ids(complete, count)
        return item_ids | _get_item_ids(pending, count)

    async def write(
        self,
        record: jobs.JobRecord,
        version: int,
        puts: list[tuple[rows.Key, bytes]],
        deadline_at: float,
    ) -> WriteResult:
        """Write a record and more rows if the record is at the version.

        A call whose outcome is unknown is retried under the same condition
        until the outcome is known or the deadline has passed.
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
                outcome = await self.table.transact_repeatable(transaction)
            except rows.TableError as error:
                may_be_applied = may_be_applied or error.may_have_run
            else:
                return _make_result(record, outcome)
            if loop.time() >= deadline_at:
                current = StoredJob(None, version)
                return WriteResult(False, current, False, may_be_applied)
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def write_unreferenced(
        self, puts: list[tuple[rows.Key, bytes]], absent_job: str | None = None
    ) -> None:
        """Write rows that no record refers to yet; raise TableError.

        With absent_job, nothing is written if that job has a record already.
        """
        expected = ()
        if absent_job is not None:
            expected = ((rowcodec.make_record_key(absent_job), 0),)
        for batch in split_writes(puts):
            await self.table.transact_repeatable(
                rows.Transaction(expected=expected, puts=tuple(batch))
            )


def split_writes(
    puts: list[tuple[rows.Key, bytes]],
) -> list[list[tuple[rows.Key, bytes]]]:
    """Return the writes in batches that each fit a transaction."""
    batches: list[list[tuple[rows.Key, bytes]]] = [[]]
    size = 0
    for put in puts:
        is_full = len(batches[-1]) >= MAX_PUTS_PER_WRITE
        if batches[-1] and (
            is_full or size + len(put[1]) > MAX_BYTES_PER_WRITE
        ):
            batches.append([])
            size = 0
        batches[-1].append(put)
        size += len(put[1])
    return batches


def _make_result(
    record: jobs.JobRecord, outcome: rows.Applied | rows.Conflict
) -> WriteResult:
    if isinstance(outcome, rows.Applied):
        return WriteResult(True, StoredJob(record, outcome.version))
    current = _decode_stored(outcome.rows)
    # An equal record means that an earlier attempt was applied.
    return WriteResult(current.record == record, current)


def _decode_stored(stored_rows: tuple[rows.Row, ...]) -> StoredJob:
    for row in stored_rows:
        if row.name.table == rowcodec.JOB_TABLE and row.value is not None:
            return StoredJob(rowcodec.decode_record(row.value), row.version)
    return StoredJob(None, 0)


def _get_item_ids(result_rows: list[rows.Row], count: int) -> set[str]:
    result_by_position = rowcodec.decode_results(result_rows)
    return {
        result.item_id
        for position, result in result_by_position.items()
        if position < count
    }
