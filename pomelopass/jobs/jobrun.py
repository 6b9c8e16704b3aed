"""Run the items of one owned job and commit their results."""

import asyncio
from collections import abc
import dataclasses

from . import itemcontext
from . import itemrun
from . import job as jobs
from . import jobtable
from . import progress as progresses
from ..reporting import logevents
from . import rowcodec
from ..table import rows

__all__ = ['JobRun']

# Results that come within this time share one transaction.
COALESCE_MS = 20.0
COMMIT_RETRY_MS = 2000.0
MAX_RESULTS_AT_ONCE = 40
# Texts are kept so that another owner need not make them again.
SAVE_EVERY_MS = 600.0
MIN_NEW_EVENTS = 16
MAX_TEXTS_AT_ONCE = 60
MAX_BYTES_AT_ONCE = 400_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Write:
    """Hold a batch of results and the record that lists them."""

    results: list[jobs.Result]
    record: jobs.JobRecord
    puts: list[tuple[rows.Key, bytes]]


class JobRun:
    """Hold the progress of a job that this instance owns."""

    def __init__(
        self,
        context: itemcontext.ItemContext,
        stored: jobtable.StoredJob,
        listed: abc.Collection[str],
        progress_by_item: dict[str, progresses.Progress],
        table: jobtable.JobTable,
        on_change: abc.Callable[[jobtable.StoredJob], None],
    ):
        self.context = context
        self.stored = stored
        self.listed = set(listed)
        self.progress_by_item = dict(progress_by_item)
        # Events of each text that the table service keeps already.
        self.saved_by_item: dict[str, int] = {
            item_id: len(one.texts)
            for item_id, one in progress_by_item.items()
        }
        self.table = table
        self.on_change = on_change
        self.finished: list[jobs.Result] = []
        self.wake = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.unsettled: _Write | None = None

    async def run(self) -> None:
        """Run until all is listed, the job ended or its ownership moved."""
        try:
            self._start_items()
            self.tasks.add(asyncio.ensure_future(self._save_texts()))
            while self.stored.record.is_open:
                await self.wake.wait()
                await asyncio.sleep(COALESCE_MS / 1000)
                self.wake.clear()
                while self.finished:
                    if not await self._commit():
                        return
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def hand_over(self) -> None:
        """Give the job to another instance."""
        record = rowcodec.next_record(
            self.stored.record, owner='', owner_name=''
        )
        loop = asyncio.get_running_loop()
        puts = self._take_unsaved(1)
        settled = await self.table.write(
            record, self.stored.version, puts, loop.time() + 1.0
        )
        self.context.write_event(
            logevents.JobHandedOver(
                job=self.context.submission.id,
                applied=settled.applied,
                texts=len(puts),
            )
        )
        if settled.is_settled:
            self.on_change(settled.current)

    def _start_items(self) -> None:
        groups: list[str] = []
        for item in self.context.submission.items:
            if item.group not in groups:
                groups.append(item.group)
            if item.id in self.listed:
                continue
            left = self.context.remaining_by_group
            left[item.group] = left.get(item.group, 0) + 1
            index = groups.index(item.group)
            self.tasks.add(asyncio.ensure_future(self._run_item(item, index)))

    async def _run_item(self, item: jobs.Item, group_index: int) -> None:
        progress = self.progress_by_item.setdefault(
            item.id, progresses.Progress()
        )
        result = await itemrun.run_item(
            self.context, item, group_index, progress
        )
        self.context.remaining_by_group[item.group] -= 1
        self.finished.append(result)
        self.wake.set()

    async def _save_texts(self) -> None:
        while True:
            await asyncio.sleep(SAVE_EVERY_MS / 1000)
            puts = self._take_unsaved(MIN_NEW_EVENTS)
            if not puts or self.unsettled is not None:
                continue
            try:
                await self.table.save_progress(
                    self.stored.record.id, self.stored.version, puts
                )
            except rows.TableError as error:
                # The texts only spare work: the next time will do.
                self.context.write_event(
                    logevents.TextsNotSaved(
                        job=self.context.submission.id, detail=error.detail
                    )
                )

    def _take_unsaved(self, min_events: int) -> list[tuple[rows.Key, bytes]]:
        puts = []
        size = 0
        for item_id, progress in self.progress_by_item.items():
            saved = self.saved_by_item.get(item_id, 0)
            new = len(progress.texts) - saved
            done = item_id in self.listed
            if done or new < min_events:
                continue
            row = rowcodec.encode_progress(
                self.stored.record.id, item_id, progress
            )
            if row is None or len(puts) >= MAX_TEXTS_AT_ONCE:
                continue
            size += len(row[1])
            if puts and size > MAX_BYTES_AT_ONCE:
                break
            self.saved_by_item[item_id] = len(progress.texts)
            puts.append(row)
        return puts

    async def _commit(self) -> bool:
        if self.unsettled is None:
            self.unsettled = self._make_write()
        write = self.unsettled
        loop = asyncio.get_running_loop()
        settled = await self.table.write(
            write.record,
            self.stored.version,
            write.puts,
            loop.time() + COMMIT_RETRY_MS / 1000,
        )
        if not settled.is_settled:
            # Another batch at these positions could conflict with this one.
            return True
        self.unsettled = None
        if settled.applied:
            self._take_applied(write.results, settled.current)
            return True
        return self._take_conflict(settled.current)

    def _make_write(self) -> _Write:
        record = self.stored.record
        some = self._take_some()
        first = record.listed
        puts = rowcodec.encode_results(record.id, first, some)
        if len(jobtable.split_writes(puts)) > 1:
            some = some[:1]
            puts = rowcodec.encode_results(record.id, first, some)
        changed = rowcodec.next_record(record, listed=first + len(some))
        return _Write(some, changed, puts)

    def _take_some(self) -> list[jobs.Result]:
        some = []
        size = 0
        for one in self.finished[:MAX_RESULTS_AT_ONCE]:
            size += len(one.text)
            if some and size > MAX_BYTES_AT_ONCE:
                break
            some.append(one)
        return some

    def _take_applied(
        self, some: list[jobs.Result], current: jobtable.StoredJob
    ) -> None:
        self.stored = current
        self.listed.update(one.item_id for one in some)
        self.finished = [
            one for one in self.finished if one.item_id not in self.listed
        ]
        self.context.write_event(
            logevents.ResultsListed(
                job=current.record.id,
                first=current.record.listed - len(some),
                items=[one.item_id for one in some],
            )
        )
        self.on_change(current)

    def _take_conflict(self, current: jobtable.StoredJob) -> bool:
        record = current.record
        own = self.stored.record
        still_ours = (
            record is not None
            and record.owner == own.owner
            and record.listed == own.listed
        )
        self.stored = current
        self.context.write_event(
            logevents.JobChanged(
                job=self.context.submission.id, still_ours=still_ours
            )
        )
        if record is not None:
            self.on_change(current)
        return still_ours and record.is_open


def make_adopted(
    record: jobs.JobRecord, owner: str, owner_name: str
) -> jobs.JobRecord:
    """Return the record of a job under a new owner."""
    changed = rowcodec.next_record(record)
    return dataclasses.replace(changed, owner=owner, owner_name=owner_name)


async def load_listed(
    table: jobtable.JobTable, record: jobs.JobRecord
) -> set[str]:
    """Return the ids of the items that are listed; raise TableError."""
    found = await table.fetch_all_results(record.id)
    listed = {
        one.item_id
        for position, one in found.items()
        if position < record.listed
    }
    if len(listed) != record.listed:
        raise rows.TableError('results are missing', False)
    return listed
