"""Run the items of one owned job and commit their results."""

import asyncio
from collections import abc
import dataclasses

from .. import answermemory
from . import itemcontext
from . import itemrun
from . import job as jobs
from . import jobtable
from . import progress as progresses
from ..reporting import logevents
from . import rowcodec
from ..table import rows

__all__ = ['JobRun']

# Results that arrive within this time share a transaction.
COALESCE_MS = 20.0
COMMIT_TIMEOUT_MS = 2000.0
MAX_RESULTS_PER_WRITE = 40
# Unfinished texts are saved so that a new owner need not regenerate them.
SAVE_INTERVAL_MS = 600.0
MIN_UNSAVED_EVENTS = 16
MAX_TEXTS_PER_WRITE = 60
MAX_BYTES_PER_WRITE = 400_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Write:
    """A batch of results and the record that lists them."""

    results: list[jobs.Result]
    record: jobs.JobRecord
    puts: list[tuple[rows.Key, bytes]]


class JobRun:
    """Run a job that this instance owns."""

    def __init__(
        self,
        context: itemcontext.ItemContext,
        stored: jobtable.StoredJob,
        listed: abc.Collection[str],
        snapshot_by_item: dict[str, progresses.Snapshot],
        table: jobtable.JobTable,
        on_change: abc.Callable[[jobtable.StoredJob], None],
    ):
        self.context = context
        self.stored = stored
        self.listed = set(listed)
        self.progress_by_item = {
            item_id: progresses.make_progress(snapshot)
            for item_id, snapshot in snapshot_by_item.items()
        }
        # Number of events of each text that are already stored.
        self.saved_count_by_item: dict[str, int] = {
            item_id: len(snapshot.texts)
            for item_id, snapshot in snapshot_by_item.items()
        }
        self.table = table
        self.on_change = on_change
        self.kept_by_item: dict[str, answermemory.Share] = {}
        self.finished: list[jobs.Result] = []
        self.wake = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.pending_write: _Write | None = None

    async def run(self) -> None:
        """Run until all items are listed or the job ends or changes owner."""
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
            # The text cache has its own limit.
            self.kept_by_item.clear()

    async def hand_over(self) -> None:
        """Release the job so that another instance adopts it."""
        record = rowcodec.next_record(
            self.stored.record, owner='', owner_name=''
        )
        loop = asyncio.get_running_loop()
        puts = self._encode_unsaved(1)
        outcome = await self.table.write(
            record, self.stored.version, puts, loop.time() + 1.0
        )
        self.context.write_event(
            logevents.JobHandedOver(
                job=self.context.submission.id,
                applied=outcome.applied,
                texts=len(puts),
            )
        )
        if outcome.is_final:
            self.on_change(outcome.current)

    def take_snapshots(self) -> dict[str, progresses.Snapshot]:
        """Return the texts by item as they are now."""
        return {
            item_id: progress.take_snapshot()
            for item_id, progress in self.progress_by_item.items()
        }

    def _start_items(self) -> None:
        groups: list[str] = []
        for item in self.context.submission.items:
            if item.group not in groups:
                groups.append(item.group)
            if item.id in self.listed:
                continue
            remaining = self.context.remaining_by_group
            remaining[item.group] = remaining.get(item.group, 0) + 1
            index = groups.index(item.group)
            self.tasks.add(asyncio.ensure_future(self._run_item(item, index)))

    async def _run_item(self, item: jobs.Item, group_index: int) -> None:
        progress = self.progress_by_item.setdefault(
            item.id, progresses.Progress()
        )
        kept = self.context.memory.open('', progress.discard)
        self.kept_by_item[item.id] = kept
        result = await itemrun.run_item(
            self.context, item, group_index, progress, kept
        )
        if result.completed:
            # Two copies of the text exist until its result is listed.
            kept.discard = None
            kept.resize(2 * progress.kept_bytes)
        self.context.remaining_by_group[item.group] -= 1
        self.finished.append(result)
        self.wake.set()

    async def _save_texts(self) -> None:
        while True:
            await asyncio.sleep(SAVE_INTERVAL_MS / 1000)
            puts = self._encode_unsaved(MIN_UNSAVED_EVENTS)
            if not puts or self.pending_write is not None:
                continue
            try:
                await self.table.save_progress(
                    self.stored.record.id, self.stored.version, puts
                )
            except rows.TableError as error:
                # A failed save costs only repeated work: retry next time.
                self.context.write_event(
                    logevents.TextsNotSaved(
                        job=self.context.submission.id, detail=error.detail
                    )
                )

    def _encode_unsaved(self, min_events: int) -> list[tuple[rows.Key, bytes]]:
        puts = []
        size = 0
        for item_id, progress in self.progress_by_item.items():
            saved_count = self.saved_count_by_item.get(item_id, 0)
            new_count = len(progress.texts) - saved_count
            is_listed = item_id in self.listed
            if is_listed or new_count < min_events:
                continue
            row = rowcodec.encode_progress(
                self.stored.record.id, item_id, progress.take_snapshot()
            )
            if row is None or len(puts) >= MAX_TEXTS_PER_WRITE:
                continue
            size += len(row[1])
            if puts and size > MAX_BYTES_PER_WRITE:
                break
            self.saved_count_by_item[item_id] = len(progress.texts)
            puts.append(row)
        return puts

    async def _commit(self) -> bool:
        if self.pending_write is None:
            self.pending_write = self._make_write()
        write = self.pending_write
        loop = asyncio.get_running_loop()
        outcome = await self.table.write(
            write.record,
            self.stored.version,
            write.puts,
            loop.time() + COMMIT_TIMEOUT_MS / 1000,
        )
        if not outcome.is_final:
            # The batch is retried unchanged: another one at these positions
            # could conflict with it.
            return True
        self.pending_write = None
        if outcome.applied:
            self._apply_write(write.results, outcome.current)
            return True
        return self._apply_conflict(outcome.current)

    def _make_write(self) -> _Write:
        record = self.stored.record
        results = self._select_results()
        first = record.listed
        puts = rowcodec.encode_results(record.id, first, results)
        if len(jobtable.split_writes(puts)) > 1:
            results = results[:1]
            puts = rowcodec.encode_results(record.id, first, results)
        changed = rowcodec.next_record(record, listed=first + len(results))
        return _Write(results, changed, puts)

    def _select_results(self) -> list[jobs.Result]:
        selected = []
        size = 0
        for result in self.finished[:MAX_RESULTS_PER_WRITE]:
            size += len(result.text)
            if selected and size > MAX_BYTES_PER_WRITE:
                break
            selected.append(result)
        return selected

    def _apply_write(
        self, results: list[jobs.Result], current: jobtable.StoredJob
    ) -> None:
        self.stored = current
        self.listed.update(result.item_id for result in results)
        for result in results:
            self._release_result(result.item_id)
        self.finished = [
            result
            for result in self.finished
            if result.item_id not in self.listed
        ]
        self.context.write_event(
            logevents.ResultsListed(
                job=current.record.id,
                first=current.record.listed - len(results),
                items=[result.item_id for result in results],
            )
        )
        self.on_change(current)

    def _release_result(self, item_id: str) -> None:
        kept = self.kept_by_item.get(item_id)
        progress = self.progress_by_item.get(item_id)
        if kept is not None and not kept.is_discarded:
            kept.resize(progress.kept_bytes)
            # Only a later job of the trainer may use the text again.
            kept.discard = progress.discard

    def _apply_conflict(self, current: jobtable.StoredJob) -> bool:
        record = current.record
        previous = self.stored.record
        still_ours = (
            record is not None
            and record.owner == previous.owner
            and record.listed == previous.listed
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
    listed = await table.fetch_listed(record.id, record.listed)
    if len(listed) != record.listed:
        raise rows.TableError(
            'listed results are missing from the table', False
        )
    return listed
