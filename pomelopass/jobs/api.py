"""Accept, read and end jobs on behalf of trainers."""

import asyncio
from collections import abc
import dataclasses
import enum

from . import job as jobs
from . import jobtable
from . import jobview
from . import manager as jobmanager
from ..reporting import logevents
from . import resultcache
from . import rowcodec
from ..table import rows
from ..workspaces import access as accesses

__all__ = ['Acceptance', 'JobApi', 'ResultPage']

# Time within which a write is retried until its outcome is known.
WRITE_TIMEOUT_MS = 1800.0
MAX_PAGE_BYTES = 900_000


class Acceptance(enum.Enum):
    """Whether a submitted job was accepted, as far as it is known."""

    ACCEPTED = 'accepted'
    NOT_ACCEPTED = 'not-accepted'
    UNKNOWN = 'unknown'
    # A job of another workspace has its id.
    FOREIGN = 'foreign'


@dataclasses.dataclass(frozen=True, slots=True)
class ResultPage:
    """Results of a job from a position on."""

    total: int
    first: int
    results: tuple[jobs.Result, ...]


class JobApi:
    """Serve the calls of trainers; any instance serves any job."""

    def __init__(
        self,
        view: jobview.JobView,
        job_manager: jobmanager.JobManager,
        table: jobtable.JobTable,
        get_table_ms: abc.Callable[[], int],
        get_target_version: abc.Callable[[str], int],
        write_event: logevents.WriteEvent,
        max_cached_bytes: int,
    ):
        self.view = view
        self.job_manager = job_manager
        self.table = table
        self.get_table_ms = get_table_ms
        self.get_target_version = get_target_version
        self.write_event = write_event
        self.cache = resultcache.ResultCache(max_cached_bytes)

    async def accept(
        self,
        submission: jobs.Submission,
        access: accesses.Access = accesses.OPEN,
    ) -> Acceptance:
        """Store a job durably; repeated submissions are idempotent."""
        viewed = self.view.get(submission.id)
        if viewed is not None:
            if accesses.may_use(access, viewed.record.workspace):
                return Acceptance.ACCEPTED
            return Acceptance.FOREIGN
        puts = rowcodec.encode_submission(submission)
        record = self._make_record(submission, len(puts))
        *batches, last_batch = jobtable.split_writes(puts)
        loop = asyncio.get_running_loop()
        try:
            for batch in batches:
                await self.table.write_unreferenced(
                    batch, submission.id if submission.workspace else None
                )
        except rows.TableError:
            return Acceptance.NOT_ACCEPTED
        write = await self.table.write(
            record, 0, last_batch, loop.time() + WRITE_TIMEOUT_MS / 1000
        )
        if write.applied:
            self.job_manager.start(write.current, submission)
        outcome = Acceptance.ACCEPTED
        stored = write.current.record
        if (
            write.is_final
            and stored is not None
            and not accesses.may_use(access, stored.workspace)
        ):
            outcome = Acceptance.FOREIGN
        if not write.is_final:
            outcome = Acceptance.NOT_ACCEPTED
            if write.may_be_applied:
                outcome = Acceptance.UNKNOWN
        self.write_event(
            logevents.JobSubmitted(
                job=submission.id,
                step=submission.step,
                total=len(submission.items),
                min_version=submission.min_version,
                outcome=outcome.value,
                owner=record.owner_name,
                workspace=submission.workspace or None,
            )
        )
        return outcome

    async def find(self, job_id: str) -> jobs.JobRecord | None:
        """Return the state of a job, or None if absent; raise TableError."""
        viewed = self.view.get(job_id)
        if viewed is not None:
            return viewed.record
        return await self._fetch_record(job_id)

    async def read(
        self, job_id: str, first: int, wait_ms: float
    ) -> ResultPage | None:
        """Return results, or None if there is no such job.

        Raise TableError if that can't be determined.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_ms / 1000
        record = await self._fetch_record(job_id)
        while record is not None and record.listed <= first:
            remaining_s = deadline - loop.time()
            if remaining_s <= 0 or not record.is_open:
                break
            await self.view.wait_for_change(job_id, remaining_s)
            viewed = self.view.get(job_id)
            if viewed is None or viewed.record.listed <= first:
                record = await self._fetch_record(job_id)
            else:
                record = viewed.record
        if record is None:
            return None
        results = await self._get_results(job_id, first, record.listed)
        return ResultPage(record.total, first, results)

    async def read_item(self, job_id: str, item_id: str) -> bytes | None:
        """Return the body of an item, or None if absent; raise TableError."""
        viewed = self.view.get(job_id)
        if viewed is None and await self._fetch_record(job_id) is None:
            return None
        submission = await self.job_manager.get_submission(job_id)
        for item in submission.items:
            if item.id == item_id:
                return item.body
        return None

    async def end(self, job_id: str) -> bool:
        """End a job; return False if there is none; raise TableError."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WRITE_TIMEOUT_MS / 1000
        stored = self.view.get(job_id) or await self.table.fetch(job_id)
        while stored.record is not None and not stored.record.ended:
            changed = rowcodec.next_record(stored.record, ended=True)
            write = await self.table.write(
                changed, stored.version, [], deadline
            )
            if not write.is_final:
                raise rows.TableError('the end is not settled', True)
            stored = write.current
            if write.applied:
                self.write_event(logevents.JobEnded(job=job_id))
        if stored.record is None:
            return False
        self.job_manager.apply(stored)
        return True

    def _make_record(
        self, submission: jobs.Submission, chunks: int
    ) -> jobs.JobRecord:
        owner, owner_name = self.job_manager.choose_owner(submission)
        return jobs.JobRecord(
            id=submission.id,
            owner=owner,
            owner_name=owner_name,
            total=len(submission.items),
            chunks=chunks,
            accepted_ms=self.get_table_ms(),
            model=submission.model,
            tokens=sum(item.tokens for item in submission.items),
            allowed_lag=self._get_allowed_lag(submission),
            workspace=submission.workspace,
        )

    def _get_allowed_lag(self, submission: jobs.Submission) -> int:
        # A trainer sets version N as the target before it submits step N;
        # this instance may not have received that target yet.
        target_version = self.get_target_version(submission.model)
        newest = max(target_version, submission.step)
        return max(0, newest - submission.min_version)

    async def _fetch_record(self, job_id: str) -> jobs.JobRecord | None:
        stored = await self.table.fetch(job_id)
        if stored.record is not None:
            self.job_manager.apply(stored)
        return stored.record

    async def _get_results(
        self, job_id: str, first: int, listed: int
    ) -> tuple[jobs.Result, ...]:
        if first >= listed:
            return ()
        cached = self.cache.get(job_id)
        if first not in cached:
            fetched = await self.table.fetch_results(job_id, first)
            # The cache may hold none of them.
            cached = {**cached, **fetched}
            self.cache.put(job_id, fetched)
        results = []
        size = 0
        for position in range(first, listed):
            result = cached.get(position)
            if result is None or (results and size > MAX_PAGE_BYTES):
                break
            size += len(result.text)
            results.append(result)
        if not results:
            raise rows.TableError('a listed result is missing', False)
        return tuple(results)
