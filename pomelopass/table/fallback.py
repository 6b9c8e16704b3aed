"""Call the table service directly, or through peers while it fails."""

import asyncio
from collections import abc
import dataclasses
from typing import Any

from . import hedging
from ..reporting import logevents
from . import rows

__all__ = ['FallbackTable', 'Paths']

# Consecutive failures of direct calls after which calls go through peers.
FAILURES_BEFORE_FALLBACK = 2
# Time between two direct probes while calls go through peers.
PROBE_INTERVAL_MS = 400
# An answer that is later than this is requested over the other paths too;
# a table that is slow answers sooner.
HEDGE_DELAY_MS = 400
# Lead of another path that shows that the own one is lost, not slow.
PATH_LEAD_MS = 150
# A write that repeats is sent over so many paths.
MAX_WRITE_PATHS = 3
# A slow service gets at most three reads in this time to compare paths.
CHECK_INTERVAL_MS = 800
# Any read shows whether the service answers; this one returns no rows.
PROBE_RANGE = rows.Range('probe', '', limit=1)

Send = abc.Callable[[rows.RowTable], abc.Awaitable[Any]]


@dataclasses.dataclass(slots=True)
class Paths:
    """Clients that reach the same table service in different ways."""

    direct: rows.RowTable
    # Opens a connection for each call.
    fresh: rows.RowTable
    relayed: rows.RowTable
    # Uses another peer, one of the own availability zone if it can.
    second_relayed: rows.RowTable


class FallbackTable:
    """Table client that falls back to peers after repeated failures.

    Calls that change nothing are sent over a second path while late.
    """

    def __init__(self, paths: Paths, write_event: logevents.WriteEvent):
        self.paths = paths
        self.write_event = write_event
        self.consecutive_failures = 0
        self.next_probe_at = 0.0
        self.next_check_at = 0.0
        self.check: asyncio.Task | None = None
        # How often calls left a path that was in use.
        self.left_paths = 0
        # Last answer over the own path, in event loop seconds.
        self.succeeded_at = float('-inf')
        self.probe: asyncio.Task | None = None
        # Set while calls go to the service directly.
        self.direct_again = asyncio.Event()

    def is_direct(self) -> bool:
        """Return whether calls go to the service without a peer."""
        return self.consecutive_failures < FAILURES_BEFORE_FALLBACK

    async def read(self, key_range: rows.Range) -> rows.Page:
        """Return one page of a key range."""
        return await self._read(lambda client: client.read(key_range))

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        return await self._read(lambda client: client.list_parts(table))

    async def transact(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction, or return the rows that conflict."""
        if not (transaction.puts or transaction.removes):
            return await self._read(
                lambda client: client.transact(transaction)
            )
        # A write that may have been applied is not retried through a peer:
        # only the sender knows its condition, so the sender decides.
        if self.is_direct():
            return await self._call_directly(
                self.paths.direct.transact(transaction), is_write=True
            )
        self._schedule_probe()
        return await self.paths.relayed.transact(transaction)

    async def transact_repeatable(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction whose repetition changes nothing more.

        While it is late, reads show whether another path answers; the
        transaction leaves the own path only then, as a slow service is not
        to get each write twice.
        """
        may_have_run = False
        for _ in range(MAX_WRITE_PATHS - 1):
            writing = asyncio.ensure_future(self.transact(transaction))
            try:
                if not await self._is_path_left(writing):
                    return await writing
            except rows.TableError as error:
                error.may_have_run = error.may_have_run or may_have_run
                raise
            finally:
                writing.cancel()
            may_have_run = True
        try:
            return await self.transact(transaction)
        except rows.TableError as error:
            error.may_have_run = True
            raise

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> rows.Changes:
        """Wait for changes; raise HistoryLostError for an old version."""

        def poll(client: rows.RowTable) -> abc.Awaitable[rows.Changes]:
            return client.follow(table, after, wait_ms)

        def catch_up(client: rows.RowTable) -> abc.Awaitable[rows.Changes]:
            return client.follow(table, after, 0)

        delay_ms = wait_ms + HEDGE_DELAY_MS
        if not self.is_direct():
            changes = await self._follow_through_peer(
                self._call_relayed(poll, catch_up, delay_ms)
            )
            if changes is not None:
                return changes
        return await self._call_hedged_directly(poll, catch_up, delay_ms)

    async def _read(self, send: Send) -> Any:
        if self.is_direct():
            return await self._call_hedged_directly(send, send, HEDGE_DELAY_MS)
        self._schedule_probe()
        return await self._call_relayed(send, send, HEDGE_DELAY_MS)

    async def _call_hedged_directly(
        self, send: Send, send_again: Send, delay_ms: float
    ) -> Any:
        return await hedging.call_hedged(
            self._call_directly(send(self.paths.direct)),
            lambda: (
                self._call_directly(send_again(self.paths.fresh)),
                self._overtake(send_again(self.paths.relayed)),
                self._overtake(send_again(self.paths.second_relayed)),
            ),
            delay_ms,
        )

    async def _call_relayed(
        self, send: Send, send_again: Send, delay_ms: float
    ) -> Any:
        return await hedging.call_hedged(
            send(self.paths.relayed),
            lambda: (
                self._call_directly(send_again(self.paths.fresh)),
                send_again(self.paths.second_relayed),
            ),
            delay_ms,
        )

    async def _overtake(self, call: abc.Awaitable[Any]) -> Any:
        """Return the answer of a peer that came before any direct one."""
        answer = await call
        self._record_failure(rows.TableError('slower than a peer', False))
        return answer

    async def _is_path_left(self, writing: asyncio.Future[Any]) -> bool:
        """Wait for a write; return whether its path was left first."""
        left_paths = self.left_paths
        while left_paths == self.left_paths:
            await asyncio.wait((writing,), timeout=HEDGE_DELAY_MS / 1000)
            if writing.done():
                return False
            if self.check is None or self.check.done():
                self.check = asyncio.ensure_future(self._check_path())
            await asyncio.wait(
                (writing, self.check), return_when=asyncio.FIRST_COMPLETED
            )
        return not writing.done()

    async def _check_path(self) -> None:
        """Leave the path in use if another one answers and it does not."""
        now = asyncio.get_running_loop().time()
        is_known = (now - self.succeeded_at) * 1000 < HEDGE_DELAY_MS
        was_direct = self.is_direct()
        if now < self.next_check_at or (is_known and was_direct):
            return
        self.next_check_at = now + CHECK_INTERVAL_MS / 1000
        direct = self._call_directly(self.paths.fresh.read(PROBE_RANGE))
        relayed = self.paths.relayed.read(PROBE_RANGE)
        second_relayed = self.paths.second_relayed.read(PROBE_RANGE)
        is_overtaken = await hedging.is_overtaken(
            direct if was_direct else relayed,
            (relayed if was_direct else direct, second_relayed),
            PATH_LEAD_MS,
        )
        if is_overtaken and not was_direct:
            # The peer that answered is used from now on.
            self.left_paths += 1
        while is_overtaken and was_direct and self.is_direct():
            self._record_failure(rows.TableError('slower than a peer', False))

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

    async def _call_directly(
        self, call: abc.Awaitable[Any], is_write: bool = False
    ) -> Any:
        try:
            answer = await call
        except rows.HistoryLostError:
            self._record_success()
            raise
        except rows.TableError as error:
            # A full part refuses writes over any path. The service may also
            # refuse all calls of this instance, and then polls fail too.
            if not (error.is_overload and is_write):
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
            await self.paths.fresh.read(PROBE_RANGE)
        except rows.TableError as error:
            self._record_failure(error)
        else:
            self._record_success()

    def _record_success(self) -> None:
        if not self.is_direct():
            self.write_event(logevents.TableRegained())
        self.consecutive_failures = 0
        self.succeeded_at = asyncio.get_running_loop().time()
        self.direct_again.set()

    def _record_failure(self, error: rows.TableError) -> None:
        self.consecutive_failures += 1
        if self.consecutive_failures == FAILURES_BEFORE_FALLBACK:
            self.left_paths += 1
            self.direct_again.clear()
            self.write_event(logevents.TableLost(detail=error.detail))
