"""Hold the jobs that the table has told of."""

import asyncio
import dataclasses

from . import demand as demands
from . import job as jobs
from . import jobtable
from ..versions import assignment

__all__ = ['JobView', 'KnownJob']


@dataclasses.dataclass(slots=True)
class KnownJob:
    """Hold the newest known state of a job.

    The time without an owner is on the clock of the event loop, in seconds.
    """

    stored: jobtable.StoredJob
    changed: asyncio.Event
    ownerless_since: float | None = None
    # Whether an adoption is on its way.
    busy: bool = False


class JobView:
    """Hold the known jobs by id."""

    def __init__(self) -> None:
        self.known_by_id: dict[str, KnownJob] = {}

    def put(self, stored: jobtable.StoredJob) -> KnownJob:
        """Take in a job's state unless a newer one is known."""
        job_id = stored.record.id
        known = self.known_by_id.get(job_id)
        if known is None:
            known = KnownJob(stored, asyncio.Event())
            self.known_by_id[job_id] = known
        elif known.stored.record.writes <= stored.record.writes:
            known.stored = stored
        known.changed.set()
        known.changed = asyncio.Event()
        return known

    def remove(self, job_id: str) -> None:
        """Forget a job whose row is gone."""
        self.known_by_id.pop(job_id, None)

    def get(self, job_id: str) -> jobtable.StoredJob | None:
        """Return the last known state of a job."""
        known = self.known_by_id.get(job_id)
        return known.stored if known is not None else None

    def get_records(self) -> list[tuple[jobs.JobRecord, int]]:
        """Return the known records with the versions of their rows."""
        return [
            (known.stored.record, known.stored.version)
            for known in self.known_by_id.values()
        ]

    def get_demand(self, now_ms: int) -> dict[str, assignment.Demand]:
        """Return what recent jobs ask of each model."""
        records = (one.stored.record for one in self.known_by_id.values())
        return demands.get_demand(records, now_ms)

    async def wait_for_change(self, job_id: str, timeout_s: float) -> None:
        """Return when a job may have changed or the time is over."""
        known = self.known_by_id.get(job_id)
        if known is None:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await known.changed.wait()
        except TimeoutError:
            return
