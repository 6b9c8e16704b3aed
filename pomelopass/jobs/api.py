"""Answer trainers: accept, read and end jobs."""

import asyncio
from collections import abc
import dataclasses
import enum

from . import job as jobs
from . import jobtable
from . import jobview
from . import manager as jobmanager
from ..reporting import logevents
from . import rowcodec
from ..table import rows

__all__ = ['Acceptance', 'JobApi', 'ResultPage']

# Longest time in which the table service is asked to settle a write.
SETTLE_MS = 1800.0
MAX_PAGE_BYTES = 900_000


class Acceptance(enum.Enum):
    """Say what is certain about a submitted job."""

    ACCEPTED = 'accepted'
    NOT_ACCEPTED = 'not-accepted'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ResultPage:
    """Hold results from a position on."""

    total: int
    first: int
    results: tuple[jobs.Result, ...]


class JobApi:
    """Serve the calls of trainers at any instance."""

    def __init__(
        self,
        view: jobview.JobView,
        job_manager: jobmanager.JobManager,
        table: jobtable.JobTable,
        get_table_ms: abc.Callable[[], int],
        get_named_version: abc.Callable[[str], int],
        write_event: logevents.WriteEvent,
    ):
        self.view = view
        self.job_manager = job_manager
        self.table = table
        self.get_table_ms = get_table_ms
        self.get_named_version = get_named_version
        self.write_event = write_event
        self.results_by_id: dict[str, dict[int, jobs.Result]] = {}

    async def accept(self, submission: jobs.Submission) -> Acceptance:
        """Keep a job for good, once however often it comes."""
        if self.view.get(submission.id) is not None:
            return Acceptance.ACCEPTED
        puts = rowcodec.encode_submission(submission)
        record = self._make_record(submission, len(puts))
        *before, last = jobtable.split_writes(puts)
        loop = asyncio.get_running_loop()
        try:
            for batch in before:
                await self.table.write_parts(batch)
        except rows.TableError:
            return Acceptance.NOT_ACCEPTED
        settled = await self.table.write(
            record, 0, last, loop.time() + SETTLE_MS / 1000
        )
        if settled.applied:
            self.job_manager.start(settled.current, submission)
        outcome = Acceptance.ACCEPTED
        if not settled.is_settled:
            outcome = Acceptance.NOT_ACCEPTED
            if settled.may_be_applied:
                outcome = Acceptance.UNKNOWN
        self.write_event(
            logevents.JobSubmitted(
                job=submission.id,
                step=submission.step,
                total=len(submission.items),
                min_version=submission.min_version,
                outcome=outcome.value,
                owner=record.owner_name,
            )
        )
        return outcome

    async def read(
        self, job_id: str, first: int, wait_ms: float
    ) -> ResultPage | None:
        """Return results, or None if there is no such job.

        Raise TableError where that can't be known.
        """
        loop = asyncio.get_running_loop()
        limit = loop.time() + wait_ms / 1000
        record = await self._fetch_record(job_id)
        while record is not None and record.listed <= first:
            left = limit - loop.time()
            if left <= 0 or not record.is_open:
                break
            await self.view.wait_for_change(job_id, left)
            known = self.view.get(job_id)
            if known is None or known.record.listed <= first:
                record = await self._fetch_record(job_id)
            else:
                record = known.record
        if record is None:
            return None
        found = await self._get_results(job_id, first, record.listed)
        return ResultPage(record.total, first, found)

    async def read_item(self, job_id: str, item_id: str) -> bytes | None:
        """Return the body of an item, or None; raise TableError."""
        known = self.view.get(job_id)
        if known is None and await self._fetch_record(job_id) is None:
            return None
        submission = await self.job_manager.get_submission(job_id)
        for item in submission.items:
            if item.id == item_id:
                return item.body
        return None

    async def end(self, job_id: str) -> bool:
        """End a job; return False if there is none; raise TableError."""
        loop = asyncio.get_running_loop()
        limit = loop.time() + SETTLE_MS / 1000
        stored = self.view.get(job_id) or await self.table.fetch(job_id)
        while stored.record is not None and not stored.record.ended:
            changed = rowcodec.next_record(stored.record, ended=True)
            settled = await self.table.write(
                changed, stored.version, [], limit
            )
            if not settled.is_settled:
                raise rows.TableError('the end is not settled', True)
            stored = settled.current
            if settled.applied:
                self.write_event(logevents.JobEnded(job=job_id))
        if stored.record is None:
            return False
        self.job_manager.note(stored)
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
            tokens=sum(one.tokens for one in submission.items),
            allowed_lag=self._get_allowed_lag(submission),
        )

    def _get_allowed_lag(self, submission: jobs.Submission) -> int:
        # A step is asked once the version of its number is named; news of
        # the naming may not have come here yet.
        named = self.get_named_version(submission.model)
        newest = max(named, submission.step)
        return max(0, newest - submission.min_version)

    async def _fetch_record(self, job_id: str) -> jobs.JobRecord | None:
        stored = await self.table.fetch(job_id)
        if stored.record is not None:
            self.job_manager.note(stored)
        return stored.record

    async def _get_results(
        self, job_id: str, first: int, listed: int
    ) -> tuple[jobs.Result, ...]:
        if first >= listed:
            return ()
        cached = self.results_by_id.setdefault(job_id, {})
        if first not in cached:
            cached.update(await self.table.fetch_results(job_id, first))
        found = []
        size = 0
        for position in range(first, listed):
            one = cached.get(position)
            if one is None or (found and size > MAX_PAGE_BYTES):
                break
            size += len(one.text)
            found.append(one)
        if not found:
            raise rows.TableError('a listed result is missing', False)
        return tuple(found)
