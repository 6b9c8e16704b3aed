"""Run the owned jobs and adopt those without an owner."""

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

CHECK_EVERY_MS = 150.0

MakeContext = abc.Callable[
    [jobs.Submission, jobs.JobRecord], itemcontext.ItemContext | None
]


class JobManager:
    """Hold the runs of the owned jobs."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        view: jobview.JobView,
        table: jobtable.JobTable,
        membership: member.Membership,
        make_context: MakeContext,
        write_event: logevents.WriteEvent,
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
        self.memory = textcache.TextCache()
        self.background: set[asyncio.Task] = set()
        self.stopping = False

    def apply_row(self, row: rows.Row) -> None:
        """Take in a change of a job's row."""
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
        self.note(jobtable.StoredJob(record, row.version))

    def note(self, stored: jobtable.StoredJob) -> None:
        """Take in a job's state unless a newer one is known."""
        job_id = stored.record.id
        known = self.view.put(stored)
        ours = self._is_ours(known)
        if job_id in self.task_by_id and not ours:
            self.task_by_id[job_id].cancel()
        elif ours and not self.stopping and not known.busy:
            self._check(job_id, known, asyncio.get_running_loop().time())

    def choose_owner(self, submission: jobs.Submission) -> tuple[str, str]:
        """Return the incarnation and the name that a new job goes to."""
        now = asyncio.get_running_loop().time()
        # One that died a moment ago would leave the job waiting.
        alive = self.membership.get_direct(now)
        trainer = f'{submission.host}/{submission.model}'
        name = adoption.choose_owner(trainer, alive, self.name)
        if name == self.name:
            return self.incarnation, self.name
        return self.membership.member_by_name[name].incarnation, name

    def start(
        self, stored: jobtable.StoredJob, submission: jobs.Submission
    ) -> None:
        """Run a job that this instance has just accepted."""
        self.submission_by_id[submission.id] = submission
        if stored.record.owner == self.incarnation:
            self._start_run(stored, submission, set(), {})
        self.note(stored)

    async def run(self) -> None:
        """Adopt jobs until cancelled."""
        while True:
            await asyncio.sleep(CHECK_EVERY_MS / 1000)
            now = asyncio.get_running_loop().time()
            for job_id, known in list(self.view.known_by_id.items()):
                if self.stopping or known.busy or job_id in self.task_by_id:
                    continue
                if known.stored.record.is_open:
                    self._check(job_id, known, now)

    async def stop(self) -> None:
        """Hand the owned jobs over."""
        self.stopping = True
        owned = list(self.run_by_id.values())
        for task in list(self.task_by_id.values()):
            task.cancel()
        await asyncio.gather(
            *(run.hand_over() for run in owned), return_exceptions=True
        )

    def _is_ours(self, known: jobview.KnownJob) -> bool:
        record = known.stored.record
        return record.owner == self.incarnation and record.is_open

    def _check(self, job_id: str, known: jobview.KnownJob, now: float) -> None:
        record = known.stored.record
        if record.owner == self.incarnation:
            if job_id in self.task_by_id:
                return
            known.busy = True
            self._spawn(self._adopt(job_id, known, take=False))
            return
        alive = self.membership.is_incarnation_alive(
            record.owner_name, record.owner, now
        )
        if record.owner and alive:
            known.ownerless_since = None
            return
        if known.ownerless_since is None:
            known.ownerless_since = now
        members = self.membership.get_alive(now)
        wait_ms = adoption.get_wait_ms(job_id, self.name, members)
        if (now - known.ownerless_since) * 1000 >= wait_ms:
            known.busy = True
            self._spawn(self._adopt(job_id, known, take=True))

    def _spawn(self, work: abc.Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        task.add_done_callback(self._note_failure)

    async def _adopt(
        self, job_id: str, known: jobview.KnownJob, take: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            stored = known.stored
            if take:
                record = jobrun.make_adopted(
                    stored.record, self.incarnation, self.name
                )
                settled = await self.table.write(
                    record, stored.version, [], loop.time() + 1.0
                )
                self.write_event(
                    logevents.JobAdopted(
                        job=job_id,
                        applied=settled.applied,
                        former=stored.record.owner,
                    )
                )
                if not settled.is_settled:
                    return
                if settled.current.record is not None:
                    self.note(settled.current)
                if not settled.applied:
                    known.ownerless_since = None
                    return
                stored = settled.current
            submission = await self.get_submission(job_id)
            listed = await jobrun.load_listed(self.table, stored.record)
            texts = await self.table.fetch_progress(job_id)
            self._start_run(stored, submission, listed, texts)
        except rows.TableError as error:
            self.write_event(
                logevents.JobNotLoaded(job=job_id, detail=error.detail)
            )
        finally:
            known.busy = False

    async def get_submission(self, job_id: str) -> jobs.Submission:
        """Return a job as it was submitted; raise TableError."""
        if job_id not in self.submission_by_id:
            found = await self.table.fetch_submission(job_id)
            self.submission_by_id[job_id] = found
        return self.submission_by_id[job_id]

    def _start_run(
        self,
        stored: jobtable.StoredJob,
        submission: jobs.Submission,
        listed: set[str],
        texts: dict[str, progresses.Progress],
    ) -> None:
        job_id = submission.id
        context = self.make_context(submission, stored.record)
        if context is None or job_id in self.task_by_id or self.stopping:
            return
        carried = self.memory.find_carried(submission)
        run = jobrun.JobRun(
            context,
            stored,
            listed,
            {**carried, **texts},
            self.table,
            self.note,
        )
        task = asyncio.ensure_future(run.run())
        self.run_by_id[job_id] = run
        self.task_by_id[job_id] = task
        self.write_event(
            logevents.JobStarted(
                job=job_id,
                listed=len(listed),
                texts=len(texts),
                carried=len(carried),
                total=stored.record.total,
            )
        )

        def forget(done: asyncio.Task) -> None:
            self.memory.remember(run.progress_by_item)
            self.task_by_id.pop(job_id, None)
            self.run_by_id.pop(job_id, None)
            self._note_failure(done)

        task.add_done_callback(forget)

    def _note_failure(self, done: asyncio.Task) -> None:
        if not done.cancelled() and done.exception() is not None:
            self.write_event(
                logevents.TaskFailed(task='job', detail=repr(done.exception()))
            )
