"""Cache the texts of groups that may be submitted again."""

from . import job as jobs
from . import progress as progresses

__all__ = ['TextCache']

MAX_TEXTS = 400


class TextCache:
    """Cache of the latest texts of finished runs by workspace and item.

    Trainers choose the ids: those of two workspaces may be the same.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.snapshot_by_key: dict[tuple[str, str], progresses.Snapshot] = {}
        self.bytes_by_key: dict[tuple[str, str], int] = {}

    def put(
        self,
        snapshot_by_item: dict[str, progresses.Snapshot],
        workspace: str = '',
    ) -> None:
        """Store the texts of a run; evict the oldest ones if full."""
        for item_id, snapshot in snapshot_by_item.items():
            key = (workspace, item_id)
            self.snapshot_by_key.pop(key, None)
            self.snapshot_by_key[key] = snapshot
            self.bytes_by_key[key] = snapshot.kept_bytes
        size = sum(self.bytes_by_key.values())
        while len(self.bytes_by_key) > MAX_TEXTS or size > self.max_bytes:
            key = next(iter(self.snapshot_by_key))
            del self.snapshot_by_key[key]
            size -= self.bytes_by_key.pop(key)

    def find_reusable(
        self, submission: jobs.Submission
    ) -> dict[str, progresses.Snapshot]:
        """Return the texts by item whose versions the job accepts."""
        reusable_by_item = {}
        for item in submission.items:
            snapshot = self.snapshot_by_key.get(
                (submission.workspace, item.id)
            )
            if snapshot is None or not snapshot.versions:
                continue
            if min(snapshot.versions) >= submission.min_version:
                reusable_by_item[item.id] = snapshot
        return reusable_by_item
