"""Remember the unfinished texts of groups that may come again."""

from . import job as jobs
from . import progress as progresses

__all__ = ['TextCache']

MAX_TEXTS = 400


class TextCache:
    """Hold the newest texts of ended jobs by item."""

    def __init__(self) -> None:
        self.progress_by_item: dict[str, progresses.Progress] = {}

    def remember(
        self, progress_by_item: dict[str, progresses.Progress]
    ) -> None:
        """Take in the texts of a job that this instance ran."""
        for item_id, progress in progress_by_item.items():
            self.progress_by_item.pop(item_id, None)
            self.progress_by_item[item_id] = progress
        surplus = len(self.progress_by_item) - MAX_TEXTS
        for item_id in list(self.progress_by_item)[: max(surplus, 0)]:
            del self.progress_by_item[item_id]

    def find_carried(
        self, submission: jobs.Submission
    ) -> dict[str, progresses.Progress]:
        """Return the texts that a job's versions allow to go on with."""
        found = {}
        for item in submission.items:
            known = self.progress_by_item.get(item.id)
            if known is None or not known.versions:
                continue
            if min(known.versions) >= submission.min_version:
                found[item.id] = known
        return found
