"""Know the time of the table service from its answers."""

import asyncio

from ..table import rows

__all__ = ['TableClock']


class TableClock:
    """Pass calls on and note the time in each answer."""

    def __init__(self, table: rows.RowTable):
        self.table = table
        self.offset_ms = 0.0

    def get_now_ms(self) -> int:
        """Return the service's steady time in milliseconds."""
        now = asyncio.get_running_loop().time()
        return int(now * 1000 + self.offset_ms)

    async def read(self, wanted: rows.Range) -> rows.Page:
        """Return rows of one part."""
        page = await self.table.read(wanted)
        self._note(page.now_ms)
        return page

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        return await self.table.list_parts(table)

    async def transact(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction or return the rows that differ."""
        outcome = await self.table.transact(transaction)
        if isinstance(outcome, rows.Applied):
            self._note(outcome.now_ms)
        return outcome

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> rows.Changes:
        """Wait for changes; raise HistoryLostError for an old version."""
        changes = await self.table.follow(table, after, wait_ms)
        self._note(changes.now_ms)
        return changes

    def _note(self, now_ms: int) -> None:
        now = asyncio.get_running_loop().time()
        self.offset_ms = now_ms - now * 1000
