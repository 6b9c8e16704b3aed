"""Call the table service directly, or through peers while it fails."""

import asyncio
from collections import abc
from typing import Any

from ..reporting import logevents
from . import rows

__all__ = ['FallbackTable']

# Consecutive failures of direct calls after which calls go through peers.
FAILURES_BEFORE_FALLBACK = 2
# Time between two direct probes while calls go through peers.
PROBE_INTERVAL_MS = 400
# Any read shows whether the service answers; this one returns no rows.
PROBE_RANGE = rows.Range('probe', '', limit=1)


class FallbackTable:
    """Table client that falls back to peers after repeated failures."""

    def __init__(
        self,
        direct: rows.RowTable,
        relayed: rows.RowTable,
        write_event: logevents.WriteEvent,
    ):
        self.direct = direct
        self.relayed = relayed
        self.write_event = write_event
        self.consecutive_failures = 0
        self.next_probe_at = 0.0
        self.probe: asyncio.Task | None = None
        # Set while calls go to the service directly.
        self.direct_again = asyncio.Event()

    def is_direct(self) -> bool:
        """Return whether calls go to the service without a peer."""
        return self.consecutive_failures < FAILURES_BEFORE_FALLBACK

    async def read(self, key_range: rows.Range) -> rows.Page:
        """Return one page of a key range."""
        return await self._call(lambda client: client.read(key_range))

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        return await self._call(lambda client: client.list_parts(table))

    async def transact(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction, or return the rows that conflict."""
        return await self._call(lambda client: client.transact(transaction))

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> rows.Changes:
        """Wait for changes; raise HistoryLostError for an old version."""

        def send(client: rows.RowTable) -> abc.Awaitable[rows.Changes]:
            return client.follow(table, after, wait_ms)

        if not self.is_direct():
            changes = await self._follow_through_peer(send(self.relayed))
            if changes is not None:
                return changes
        return await self._call_directly(send)

    async def _follow_through_peer(
        self, call: abc.Awaitable[rows.Changes]
    ) -> rows.Changes | None:
        """Return the changes, or None once the service answers directly.

        The peer may have lost its own link, and its call then hangs.
        """
        relayed = asyncio.ensure_future(call)
        regained = asyncio.ensure_future(self.direct_again.wait())
        try:
            while not (relayed.done() or regained.done()):
                self._schedule_probe()
                await asyncio.wait(
                    (relayed, regained),
                    timeout=PROBE_INTERVAL_MS / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            return relayed.result() if relayed.done() else None
        finally:
            for task in (relayed, regained):
                task.cancel()

    async def _call(
        self, send: abc.Callable[[rows.RowTable], abc.Awaitable[Any]]
    ) -> Any:
        if self.is_direct():
            return await self._call_directly(send)
        self._schedule_probe()
        return await send(self.relayed)

    async def _call_directly(
        self, send: abc.Callable[[rows.RowTable], abc.Awaitable[Any]]
    ) -> Any:
        # A write that may have been applied is not retried through a peer:
        # only the sender knows its condition, so the sender decides.
        try:
            answer = await send(self.direct)
        except rows.HistoryLostError:
            self._record_success()
            raise
        except rows.TableError as error:
            self._record_failure(error)
            raise
        self._record_success()
        return answer

    def _schedule_probe(self) -> None:
        # In the background: a probe of a lost connection lasts its timeout.
        now = asyncio.get_running_loop().time()
        is_probing = self.probe is not None and not self.probe.done()
        if not is_probing and now >= self.next_probe_at:
            self.next_probe_at = now + PROBE_INTERVAL_MS / 1000
            self.probe = asyncio.ensure_future(self._probe())

    async def _probe(self) -> None:
        try:
            await self.direct.read(PROBE_RANGE)
        except rows.TableError as error:
            self._record_failure(error)
        else:
            self._record_success()

    def _record_success(self) -> None:
        if not self.is_direct():
            self.write_event(logevents.TableRegained())
        self.consecutive_failures = 0
        self.direct_again.set()

    def _record_failure(self, error: rows.TableError) -> None:
        self.consecutive_failures += 1
        if self.consecutive_failures == FAILURES_BEFORE_FALLBACK:
            self.direct_again.clear()
            self.write_event(logevents.TableLost(detail=error.detail))
