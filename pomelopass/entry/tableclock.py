"""Estimate the time of the table service from its answers."""

import asyncio

from ..table import rows

__all__ = ['TableClock']


class TableClock:
    """Table client that tracks the service's clock by its answers."""

    def __init__(self, table: rows.RepeatingTable):
        self.table = table
        self.offset_ms = 0.0
        self.answered_at = float('-inf')

    def get_answer_age_ms(self) -> float:
        """Return the time since the last answer in milliseconds."""
        now = asyncio.get_running_loop().time()
        return (now - self.answered_at) * 1000

    def get_answered_offset_ms(self) -> float | None:
        """Return the service's time less that of the loop, once known."""
        if self.answered_at == float('-inf'):
            return None
        return self.offset_ms

    def get_now_ms(self) -> int:
        """Return the service's monotonic time in milliseconds."""
        now = asyncio.get_running_loop().time()
        return int(now * 1000 + self.offset_ms)

    async def read(self, key_range: rows.Range) -> rows.Page:
        """Return one page of a key range."""
        page = await self.table.read(key_range)
        self._update_offset(page.now_ms)
        return page

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        return await self.table.list_parts(table)

    async def transact(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction, or return the rows that conflict."""
        return self._record_outcome(await self.table.transact(transaction))

    async def transact_repeatable(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction whose repetition changes nothing more.

        It may be sent over several paths.
        """
        return self._record_outcome(
            await self.table.transact_repeatable(transaction)
        )

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> rows.Changes:
        """Wait for changes; raise HistoryLostError for an old version."""
        changes = await self.table.follow(table, after, wait_ms)
        self._update_offset(changes.now_ms)
        return changes

    def _record_outcome(
        self, outcome: rows.Applied | rows.Conflict
    ) -> rows.Applied | rows.Conflict:
        if isinstance(outcome, rows.Applied):
            self._update_offset(outcome.now_ms)
        return outcome

    def _update_offset(self, now_ms: int) -> None:
        now = asyncio.get_running_loop().time()
        self.answered_at = now
        self.offset_ms = now_ms - now * 1000
