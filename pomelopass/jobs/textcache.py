"""Cache the texts of groups that may be submitted again."""

from . import job as jobs
from . import progress as progresses

__all__ = ['TextCache']

MAX_TEXTS = 400


class TextCache:
    """Cache of the latest texts of finished runs by item."""

    def __init__(self) -> None:
        self.progress_by_item: dict[str, progresses.Progress] = {}

    def put(self, progress_by_item: dict[str, progresses.Progress]) -> None:
        """Store the texts of a run; evict the oldest ones if full."""
        for item_id, progress in progress_by_item.items():
            self.progress_by_item.pop(item_id, None)
            self.progress_by_item[item_id] = progress
        surplus = len(self.progress_by_item) - MAX_TEXTS
        for item_id in list(self.progress_by_item)[: max(surplus, 0)]:
            del self.progress_by_item[item_id]

    def find_reusable(
        self, submission: jobs.Submission
    ) -> dict[str, progresses.Progress]:
        """Return the texts by item whose versions the job accepts."""
        reusable_by_item = {}
        for item in submission.items:
            progress = self.progress_by_item.get(item.id)
            if progress is None or not progress.versions:
                continue
            if min(progress.versions) >= submission.min_version:
                reusable_by_item[item.id] = progress
        return reusable_by_item
