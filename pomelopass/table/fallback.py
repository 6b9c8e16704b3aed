"""Use the table service directly while it serves us, else through peers."""

import asyncio
from collections import abc
from typing import Any

from ..reporting import logevents
from . import rows

__all__ = ['FallbackTable']

# Direct calls that fail in a row before calls go through peers.
FAILURES_TO_FALL_BACK = 2
# Time between two direct tries while calls go through peers.
PROBE_EVERY_MS = 400
# Any read shows that the service serves us; this one returns nothing.
PROBE_RANGE = rows.Range('probe', '', limit=1)


class FallbackTable:
    """Choose the way of each call; remember whether the direct one works."""

    def __init__(
        self,
        direct: rows.RowTable,
        relayed: rows.RowTable,
        write_event: logevents.WriteEvent,
    ):
        self.direct = direct
        self.relayed = relayed
        self.write_event = write_event
        self.failures_in_row = 0
        self.next_probe_at = 0.0
        self.probe: asyncio.Task | None = None

    def is_direct(self) -> bool:
        """Say whether calls go to the service without a peer."""
        return self.failures_in_row < FAILURES_TO_FALL_BACK

    async def read(self, wanted: rows.Range) -> rows.Page:
        """Return rows of one part."""
        return await self._call(lambda table: table.read(wanted))

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        return await self._call(lambda one: one.list_parts(table))

    async def transact(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction or return the rows that differ."""
        return await self._call(lambda table: table.transact(transaction))

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> rows.Changes:
        """Wait for changes; raise HistoryLostError for an old version."""
        return await self._call(lambda one: one.follow(table, after, wait_ms))

    async def _call(
        self, run: abc.Callable[[rows.RowTable], abc.Awaitable[Any]]
    ) -> Any:
        if self.is_direct():
            return await self._call_directly(run)
        self._probe_soon()
        return await run(self.relayed)

    async def _call_directly(
        self, run: abc.Callable[[rows.RowTable], abc.Awaitable[Any]]
    ) -> Any:
        # A write that may have run is not sent another way here: its sender
        # decides, since only the sender knows its condition.
        try:
            answer = await run(self.direct)
        except rows.HistoryLostError:
            self._note_success()
            raise
        except rows.TableError as error:
            self._note_failure(error)
            raise
        self._note_success()
        return answer

    def _probe_soon(self) -> None:
        # A way that is cut costs a time-out: no call of ours waits for it.
        now = asyncio.get_running_loop().time()
        probing = self.probe is not None and not self.probe.done()
        if not probing and now >= self.next_probe_at:
            self.next_probe_at = now + PROBE_EVERY_MS / 1000
            self.probe = asyncio.ensure_future(self._probe())

    async def _probe(self) -> None:
        try:
            await self.direct.read(PROBE_RANGE)
        except rows.TableError as error:
            self._note_failure(error)
        else:
            self._note_success()

    def _note_success(self) -> None:
        if not self.is_direct():
            self.write_event(logevents.TableRegained())
        self.failures_in_row = 0

    def _note_failure(self, error: rows.TableError) -> None:
        self.failures_in_row += 1
        if self.failures_in_row == FAILURES_TO_FALL_BACK:
            self.write_event(logevents.TableLost(detail=error.detail))
