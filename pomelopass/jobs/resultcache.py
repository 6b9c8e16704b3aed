"""Cache results that trainers read, within a number of bytes."""

import sys

from . import job as jobs

__all__ = ['ResultCache']


class ResultCache:
    """Results by job and position; the job read last is evicted last."""

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.results_by_id: dict[str, dict[int, jobs.Result]] = {}
        self.bytes_by_id: dict[str, int] = {}

    def get(self, job_id: str) -> dict[int, jobs.Result]:
        """Return the cached results of a job by position."""
        return self.results_by_id.get(job_id, {})

    def put(
        self, job_id: str, result_by_position: dict[int, jobs.Result]
    ) -> None:
        """Store results; evict jobs until they fit, this one at last."""
        results = self.results_by_id.pop(job_id, {})
        size = self.bytes_by_id.pop(job_id, 0)
        for position, result in result_by_position.items():
            if position not in results:
                results[position] = result
                size += sys.getsizeof(result.text)
        self.results_by_id[job_id] = results
        self.bytes_by_id[job_id] = size
        while self.bytes_by_id and self._count_bytes() > self.max_bytes:
            self.remove(next(iter(self.results_by_id)))

    def remove(self, job_id: str) -> None:
        """Forget the results of a job."""
        self.results_by_id.pop(job_id, None)
        self.bytes_by_id.pop(job_id, None)

    def _count_bytes(self) -> int:
        return sum(self.bytes_by_id.values())
