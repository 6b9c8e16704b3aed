"""Remove the rows of streams whose instance died before it removed them."""

import asyncio
from collections import abc

from . import origin as origins
from ..reporting import logevents
from ..table import rows

__all__ = ['OriginSweeper']

SWEEP_INTERVAL_S = 300.0
# Longer than any stream and the time in which it may be resumed.
ABANDONED_AFTER_MS = 3_600_000
MAX_REMOVES_PER_WRITE = 90


class OriginSweeper:
    """Periodic removal of old rows by one instance."""

    def __init__(
        self,
        table: rows.RowTable,
        is_responsible: abc.Callable[[], bool],
        get_table_ms: abc.Callable[[], int],
        write_event: logevents.WriteEvent,
    ):
        self.table = table
        self.is_responsible = is_responsible
        self.get_table_ms = get_table_ms
        self.write_event = write_event

    async def run(self) -> None:
        """Remove abandoned rows until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if not self.is_responsible():
                continue
            try:
                await self.sweep()
            except rows.TableError as error:
                self.write_event(
                    logevents.OriginNotStored(id='', detail=error.detail)
                )

    async def sweep(self) -> None:
        """Remove abandoned rows once; raise TableError."""
        for part in await self.table.list_parts(origins.ORIGIN_TABLE):
            key_range = rows.Range(origins.ORIGIN_TABLE, part)
            names = [
                row.name
                async for page in rows.read_all(self.table, key_range)
                for row in page
                if self._is_abandoned(row)
            ]
            for start in range(0, len(names), MAX_REMOVES_PER_WRITE):
                batch = names[start : start + MAX_REMOVES_PER_WRITE]
                await self.table.transact(
                    rows.Transaction(removes=tuple(batch))
                )

    def _is_abandoned(self, row: rows.Row) -> bool:
        try:
            created_ms = origins.decode_record(row.value or b'').created_ms
        except ValueError:
            return True
        return self.get_table_ms() - created_ms > ABANDONED_AFTER_MS
