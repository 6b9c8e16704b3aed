"""Run the jobs of this instance and adopt those without an owner."""

import asyncio
from collections import abc

from . import adoption
from ..fleet import member
from . import itemcontext
from . import job as jobs
from . import jobrun
from . import jobtable
from . import jobview
from . import progress as progresses
from ..reporting import logevents
from . import rowcodec
from ..table import rows
from . import textcache

__all__ = ['JobManager', 'MakeContext']

CHECK_INTERVAL_MS = 150.0

MakeContext = abc.Callable[
    [jobs.Submission, jobtable.StoredJob], itemcontext.ItemContext | None
]


class JobManager:
    """Manage the runs of the jobs that this instance owns."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        view: jobview.JobView,
        table: jobtable.JobTable,
        membership: member.Membership,
        make_context: MakeContext,
        write_event: logevents.WriteEvent,
        max_cached_bytes: int,
    ):
        self.name = name
        self.incarnation = incarnation
        self.view = view
        self.table = table
        self.membership = membership
        self.make_context = make_context
        self.write_event = write_event
        self.run_by_id: dict[str, jobrun.JobRun] = {}
        self.task_by_id: dict[str, asyncio.Task] = {}
        self.submission_by_id: dict[str, jobs.Submission] = {}
        self.text_cache = textcache.TextCache(max_cached_bytes)
        self.background: set[asyncio.Task] = set()
        self.stopping = False

    def apply_row(self, row: rows.Row) -> None:
        """Apply a change of a job's row."""
        job_id = row.name.key
        if row.value is None:
            self.view.remove(job_id)
            self.submission_by_id.pop(job_id, None)
            return
        try:
            record = rowcodec.decode_record(row.value)
        except ValueError as error:
            self.write_event(
                logevents.JobUnreadable(job=job_id, detail=str(error))
            )
            return
        self.apply(jobtable.StoredJob(record, row.version))

    def apply(self, stored: jobtable.StoredJob) -> None:
        """Update the state of a job; start or cancel its run accordingly."""
        job_id = stored.record.id
        state = self.view.put(stored)
        is_owned = self._is_owned(state)
        if job_id in self.task_by_id and not is_owned:
            self.task_by_id[job_id].cancel()
        elif is_owned and not self.stopping and not state.adopting:
            self._check(job_id, state, asyncio.get_running_loop().time())

    def choose_owner(self, submission: jobs.Submission) -> tuple[str, str]:
        """Return the incarnation and the name of the owner for a new job."""
        now = asyncio.get_running_loop().time()
        # A job assigned to an instance that just died would have to wait.
        candidates = self.membership.get_direct(now)
        trainer = f'{submission.host}/{submission.model}'
        name = adoption.choose_owner(
            trainer, candidates, self.name, self.membership.is_cut_off
        )
        if name == self.name:
            return self.incarnation, self.name
        return self.membership.member_by_name[name].incarnation, name

    def start(
        self, stored: jobtable.StoredJob, submission: jobs.Submission
    ) -> None:
        """Start a newly accepted job if this instance owns it."""
        self.submission_by_id[submission.id] = submission
        if stored.record.owner == self.incarnation:
            self._start_run(stored, submission, set(), {})
        self.apply(stored)

    async def run(self) -> None:
        """Adopt jobs without an owner until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            now = asyncio.get_running_loop().time()
            for job_id, state in list(self.view.state_by_id.items()):
                if (
                    self.stopping
                    or state.adopting
                    or job_id in self.task_by_id
                ):
                    continue
                if state.stored.record.is_open:
                    self._check(job_id, state, now)

    async def stop(self) -> None:
        """Stop all runs and hand their jobs over."""
        self.stopping = True
        owned_runs = list(self.run_by_id.values())
        for task in list(self.task_by_id.values()):
            task.cancel()
        await asyncio.gather(
            *(run.hand_over() for run in owned_runs), return_exceptions=True
        )

    def _is_owned(self, state: jobview.JobState) -> bool:
        record = state.stored.record
        return record.owner == self.incarnation and record.is_open

    def _check(self, job_id: str, state: jobview.JobState, now: float) -> None:
        record = state.stored.record
        if record.owner == self.incarnation:
            if job_id in self.task_by_id:
                return
            state.adopting = True
            self._spawn(self._adopt(job_id, state, change_owner=False))
            return
        is_owner_alive = self.membership.is_incarnation_alive(
            record.owner_name, record.owner, now
        )
        if record.owner and is_owner_alive:
            state.ownerless_since = None
            return
        if state.ownerless_since is None:
            state.ownerless_since = now
        members = self.membership.get_alive(now)
        wait_ms = adoption.get_wait_ms(
            job_id, self.name, members, self.membership.is_cut_off
        )
        if (now - state.ownerless_since) * 1000 >= wait_ms:
            state.adopting = True
            self._spawn(self._adopt(job_id, state, change_owner=True))

    def _spawn(self, work: abc.Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        task.add_done_callback(self._report_failure)

    async def _adopt(
        self, job_id: str, state: jobview.JobState, change_owner: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            stored = state.stored
            if change_owner:
                record = jobrun.make_adopted(
                    stored.record, self.incarnation, self.name
                )
                write = await self.table.write(
                    record, stored.version, [], loop.time() + 1.0
                )
                self.write_event(
                    logevents.JobAdopted(
                        job=job_id,
                        applied=write.applied,
                        former=stored.record.owner,
                    )
                )
                if not write.is_final:
                    return
                if write.current.record is not None:
                    self.apply(write.current)
                if not write.applied:
                    state.ownerless_since = None
                    return
                stored = write.current
            submission = await self.get_submission(job_id)
            listed = await jobrun.load_listed(self.table, stored.record)
            texts = await self.table.fetch_progress(job_id)
            # The record may have changed hands before or meanwhile.
            if stored.record.owner == self.incarnation and self._is_owned(
                state
            ):
                self._start_run(stored, submission, listed, texts)
        except rows.TableError as error:
            self.write_event(
                logevents.JobNotLoaded(job=job_id, detail=error.detail)
            )
        finally:
            state.adopting = False

    async def get_submission(self, job_id: str) -> jobs.Submission:
        """Return a job as it was submitted; raise TableError."""
        if job_id not in self.submission_by_id:
            submission = await self.table.fetch_submission(job_id)
            self.submission_by_id[job_id] = submission
        return self.submission_by_id[job_id]

    def _start_run(
        self,
        stored: jobtable.StoredJob,
        submission: jobs.Submission,
        listed: set[str],
        texts: dict[str, progresses.Snapshot],
    ) -> None:
        job_id = submission.id
        context = self.make_context(submission, stored)
        if context is None or job_id in self.task_by_id or self.stopping:
            return
        reusable = self.text_cache.find_reusable(submission)
        run = jobrun.JobRun(
            context,
            stored,
            listed,
            {**reusable, **texts},
            self.table,
            self.apply,
        )
        task = asyncio.ensure_future(run.run())
        self.run_by_id[job_id] = run
        self.task_by_id[job_id] = task
        self.write_event(
            logevents.JobStarted(
                job=job_id,
                listed=len(listed),
                texts=len(texts),
                carried=len(reusable),
                total=stored.record.total,
            )
        )

        def clean_up(finished_task: asyncio.Task) -> None:
            self.text_cache.put(run.take_snapshots(), submission.workspace)
            self.task_by_id.pop(job_id, None)
            self.run_by_id.pop(job_id, None)
            self._report_failure(finished_task)

        task.add_done_callback(clean_up)

    def _report_failure(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.write_event(
                logevents.TaskFailed(task='job', detail=repr(task.exception()))
            )
