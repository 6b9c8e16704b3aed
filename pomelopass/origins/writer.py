"""Write rows on which a stream waits, repeated while no answer comes."""

import asyncio
from collections import abc

from ..table import rows

__all__ = ['IsStored', 'RowWriter']

# A stream waits for its rows before its first event, at most this long.
WRITE_TIMEOUT_MS = 600.0
# A write is repeated meanwhile, in case its answer is lost.
REPEAT_INTERVAL_MS = 150.0

# Whether the value of a row is the one that was to be written.
IsStored = abc.Callable[[bytes], bool]


class RowWriter:
    """Writer of single rows under the condition of their version."""

    def __init__(self, table: rows.RowTable):
        self.table = table
        self.tasks: set[asyncio.Task] = set()

    async def write(
        self, transaction: rows.Transaction, is_stored: IsStored
    ) -> bool:
        """Return whether the rows are known to be stored in time."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WRITE_TIMEOUT_MS / 1000
        pending: set[asyncio.Task] = set()
        while loop.time() < deadline:
            pending.add(self._start(self.put(transaction, is_stored)))
            pause_at = loop.time() + REPEAT_INTERVAL_MS / 1000
            done, pending = await asyncio.wait(
                pending,
                timeout=REPEAT_INTERVAL_MS / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if any(task.result() for task in done):
                return True
            await asyncio.sleep(max(pause_at - loop.time(), 0.0))
        return False

    async def put(
        self, transaction: rows.Transaction, is_stored: IsStored
    ) -> bool | None:
        """Return whether the row is stored; None if that is unknown."""
        try:
            outcome = await self.table.transact(transaction)
        except rows.TableError:
            # Repeated under the same condition; the caller logs the end.
            return None
        if isinstance(outcome, rows.Applied):
            return True
        # An earlier write whose answer was lost has been applied.
        return any(
            row.value is not None and is_stored(row.value)
            for row in outcome.rows
        )

    def stop(self) -> None:
        """Cancel the writes in progress."""
        for task in self.tasks:
            task.cancel()

    def _start(self, work: abc.Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
