"""Local view of the jobs in the table service."""

import asyncio
from collections import abc
import dataclasses

from . import demand as demands
from . import job as jobs
from . import jobtable
from ..versions import assignment

__all__ = ['JobState', 'JobView']


@dataclasses.dataclass(slots=True)
class JobState:
    """Latest state of a job in the local view.

    The time in ownerless_since is in seconds on the loop's clock.
    """

    stored: jobtable.StoredJob
    changed: asyncio.Event
    ownerless_since: float | None = None
    # Whether an adoption is in progress.
    adopting: bool = False


class JobView:
    """Local view of the jobs by id."""

    def __init__(self) -> None:
        self.state_by_id: dict[str, JobState] = {}

    def put(self, stored: jobtable.StoredJob) -> JobState:
        """Update the state of a job unless the view holds a newer one."""
        job_id = stored.record.id
        state = self.state_by_id.get(job_id)
        if state is None:
            state = JobState(stored, asyncio.Event())
            self.state_by_id[job_id] = state
        elif state.stored.record.writes <= stored.record.writes:
            state.stored = stored
        state.changed.set()
        state.changed = asyncio.Event()
        return state

    def remove(self, job_id: str) -> None:
        """Remove a job whose row was removed."""
        self.state_by_id.pop(job_id, None)

    def get(self, job_id: str) -> jobtable.StoredJob | None:
        """Return the latest state of a job, or None if unknown."""
        state = self.state_by_id.get(job_id)
        return state.stored if state is not None else None

    def get_records(self) -> list[tuple[jobs.JobRecord, int]]:
        """Return the records with the versions of their rows."""
        return [
            (state.stored.record, state.stored.version)
            for state in self.state_by_id.values()
        ]

    def get_demand(self, now_ms: int) -> dict[str, assignment.Demand]:
        """Return the demand of recent jobs by model."""
        records = (state.stored.record for state in self.state_by_id.values())
        return demands.get_demand(records, now_ms)

    def count_open_items(self, models: abc.Container[str], now_ms: int) -> int:
        """Return the items of recent jobs that have no result yet."""
        records = (state.stored.record for state in self.state_by_id.values())
        return demands.count_open_items(records, models, now_ms)

    async def wait_for_change(self, job_id: str, timeout_s: float) -> None:
        """Wait until a job may have changed or the timeout has passed."""
        state = self.state_by_id.get(job_id)
        if state is None:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await state.changed.wait()
        except TimeoutError:
            return
