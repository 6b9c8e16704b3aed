"""Cache the texts of groups that may be submitted again."""

from . import job as jobs
from . import progress as progresses

__all__ = ['TextCache']

MAX_TEXTS = 400


class TextCache:
    """Cache of the latest texts of finished runs by item."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.snapshot_by_item: dict[str, progresses.Snapshot] = {}
        self.bytes_by_item: dict[str, int] = {}

    def put(self, snapshot_by_item: dict[str, progresses.Snapshot]) -> None:
        """Store the texts of a run; evict the oldest ones if full."""
        for item_id, snapshot in snapshot_by_item.items():
            self.snapshot_by_item.pop(item_id, None)
            self.snapshot_by_item[item_id] = snapshot
            self.bytes_by_item[item_id] = snapshot.kept_bytes
        size = sum(self.bytes_by_item.values())
        while len(self.bytes_by_item) > MAX_TEXTS or size > self.max_bytes:
            item_id = next(iter(self.snapshot_by_item))
            del self.snapshot_by_item[item_id]
            size -= self.bytes_by_item.pop(item_id)

    def find_reusable(
        self, submission: jobs.Submission
    ) -> dict[str, progresses.Snapshot]:
        """Return the texts by item whose versions the job accepts."""
        reusable_by_item = {}
        for item in submission.items:
            snapshot = self.snapshot_by_item.get(item.id)
            if snapshot is None or not snapshot.versions:
                continue
            if min(snapshot.versions) >= submission.min_version:
                reusable_by_item[item.id] = snapshot
        return reusable_by_item
