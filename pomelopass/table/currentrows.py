"""Read single rows as they are now, whatever copies and caches show."""

import asyncio

from . import rows

__all__ = ['CurrentRows', 'read_current']


async def read_current(table: rows.RowTable, key: rows.Key) -> rows.Row | None:
    """Return a row, or None if there is none; raise TableError.

    The condition of a transaction is checked against the newest state, while
    a read may be answered with an earlier one.
    """
    outcome = await table.transact(
        rows.Transaction(expected=((key, rows.ABSENT),))
    )
    if isinstance(outcome, rows.Applied):
        return None
    for row in outcome.rows:
        if row.name == key and row.value is not None:
            return row
    raise rows.TableError('conflict without its row', False)


class CurrentRows:
    """Reads of rows that callers who wait at the same time share.

    A read that began before a caller asked is too old for it, so the caller
    shares the next one.
    """

    def __init__(self, table: rows.RowTable):
        self.table = table
        self.running_by_key: dict[rows.Key, asyncio.Task] = {}
        self.next_by_key: dict[rows.Key, asyncio.Task] = {}

    async def read(self, key: rows.Key) -> rows.Row | None:
        """Return a row, or None if there is none; raise TableError."""
        task = self.next_by_key.get(key)
        if task is None:
            task = asyncio.ensure_future(self._read_next(key))
            # A failure is raised to those who wait; they may have left.
            task.add_done_callback(
                lambda done: done.cancelled() or done.exception()
            )
            self.next_by_key[key] = task
        return await asyncio.shield(task)

    def stop(self) -> None:
        """Cancel the reads in progress."""
        for task_by_key in (self.running_by_key, self.next_by_key):
            for task in task_by_key.values():
                task.cancel()

    async def _read_next(self, key: rows.Key) -> rows.Row | None:
        running = self.running_by_key.get(key)
        if running is not None:
            await asyncio.wait((running,))
        self.running_by_key[key] = self.next_by_key.pop(key)
        try:
            return await read_current(self.table, key)
        finally:
            del self.running_by_key[key]
