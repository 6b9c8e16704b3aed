"""Store rows in memory and inject faults into the calls of instances."""

import asyncio
import bisect
import collections
import dataclasses
import random

from pomelopass.table import rows

__all__ = ['RowClient', 'RowService']

ANSWER_S = 0.004
LATE_MIN_S = 1.0
LATE_MAX_S = 6.0
# After which an instance gives up a call, or a long poll beyond its wait.
CALL_TIMEOUT_S = 1.2
FOLLOW_MARGIN_S = 0.7
# A virtual clock cannot advance by less than its floating-point precision.
RESOLUTION_S = 1e-6
# A part refuses further transactions while more than this is to be done.
MAX_PART_WAIT_S = 1.0


class _Feed:
    """Changes of one table in the order of their versions."""

    def __init__(self) -> None:
        self.history: list[rows.Row] = []
        self.changed = asyncio.Event()

    def append(self, row: rows.Row) -> None:
        """Add a change; wake all who wait for one."""
        self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def get_after(self, version: int) -> list[rows.Row]:
        """Return the changes after a version."""
        first = bisect.bisect_right(
            self.history, version, key=lambda row: row.version
        )
        return self.history[first:]


class RowService:
    """All rows and the history of their changes."""

    def __init__(self) -> None:
        self.row_by_name: dict[rows.Key, rows.Row] = {}
        self.version = 0
        self.feed_by_table: dict[str, _Feed] = {}
        self.history_start = 0
        self.calls = 0
        # Transactions that write, by the part of all their rows.
        self.writes_by_part: collections.Counter[str] = collections.Counter()
        # Every change with its time, for reads of an older moment.
        self.log: list[tuple[float, rows.Row]] = []
        # Unavailable to all instances.
        self.down = False
        # A part applies its transactions one after the other.
        self.transaction_s = 0.0
        self.part_free_at_by_name: dict[str, float] = {}

    def apply(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction, or return the current rows on conflict."""
        for name, version in transaction.expected:
            current = self.row_by_name.get(name)
            if (current.version if current else rows.ABSENT) != version:
                return rows.Conflict(self._get_present(transaction))
        self.version += 1
        for name, _ in transaction.puts[:1]:
            self.writes_by_part[name.part] += 1
        for name, value in transaction.puts:
            row = rows.Row(name, value, self.version)
            self.row_by_name[name] = row
            self._record(row)
        for name in transaction.removes:
            if self.row_by_name.pop(name, None) is not None:
                self._record(rows.Row(name, None, self.version))
        return rows.Applied(self.version, self.get_now_ms())

    async def wait_for_part(self, transaction: rows.Transaction) -> None:
        """Wait until the part is free; raise TableError if it is full."""
        if not self.transaction_s:
            return
        names = [
            *(name for name, _ in transaction.expected),
            *(name for name, _ in transaction.puts),
            *transaction.removes,
        ]
        now = asyncio.get_running_loop().time()
        part = names[0].part
        free_at = max(self.part_free_at_by_name.get(part, now), now)
        if free_at - now > MAX_PART_WAIT_S:
            raise rows.TableError('status 429', False, is_overload=True)
        self.part_free_at_by_name[part] = free_at + self.transaction_s
        await asyncio.sleep(free_at + self.transaction_s - now)

    def _record(self, row: rows.Row) -> None:
        self.get_feed(row.name.table).append(row)
        self.log.append((asyncio.get_running_loop().time(), row))

    def get_rows_at(self, at: float) -> tuple[dict[rows.Key, rows.Row], int]:
        """Return the rows and the version of an earlier moment."""
        row_by_name: dict[rows.Key, rows.Row] = {}
        version = 0
        for changed_at, row in self.log:
            if changed_at > at:
                break
            row_by_name.pop(row.name, None)
            if row.value is not None:
                row_by_name[row.name] = row
            version = row.version
        return row_by_name, version

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row as the operator or an endpoint does."""
        name = rows.Key(table, '', key)
        return self.apply(rows.Transaction(puts=((name, value),))).version

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        name = rows.Key(table, '', key)
        self.apply(rows.Transaction(removes=(name,)))

    def forget_history(self) -> None:
        """Drop the history, so that followers must read all rows again."""
        for feed in self.feed_by_table.values():
            feed.history.clear()
        self.history_start = self.version

    def get_feed(self, table: str) -> '_Feed':
        """Return the changes of a table."""
        return self.feed_by_table.setdefault(table, _Feed())

    def get_now_ms(self) -> int:
        """Return the service's monotonic time in milliseconds."""
        return int(asyncio.get_running_loop().time() * 1000) + 5_000

    def _get_present(
        self, transaction: rows.Transaction
    ) -> tuple[rows.Row, ...]:
        return tuple(
            self.row_by_name[name]
            for name, _ in transaction.expected
            if name in self.row_by_name
        )


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults between one instance and the service."""

    down: bool = False
    silent: bool = False
    # Calls arrive, and no answer comes back.
    one_way: bool = False
    reset: bool = False
    # How far behind reads are.
    stale_s: float = 0.0
    lose_answers: float = 0.0
    late_writes: float = 0.0
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """A call in flight; the times are seconds of the event loop."""

    sent_at: float
    timeout_s: float
    # State of the client's connections when it was sent.
    connections_broken: int


class RowClient:
    """Table client of one instance."""

    def __init__(self, service: RowService, rng: random.Random):
        self.service = service
        self.rng = rng
        self.faults = Faults()
        self.connections_broken = 0

    def break_connections(self) -> None:
        """Let the calls in flight get no answer; new ones do."""
        self.connections_broken += 1

    async def read(self, key_range: rows.Range) -> rows.Page:
        """Return the rows of a key range."""
        call = await self._send(CALL_TIMEOUT_S)
        row_by_name, version = self.service.row_by_name, self.service.version
        if self.faults.stale_s:
            row_by_name, version = self.service.get_rows_at(
                call.sent_at - self.faults.stale_s
            )
        matching_rows = sorted(
            (
                row
                for name, row in row_by_name.items()
                if name.table == key_range.table
                and name.part == key_range.part
                and name.key >= key_range.start
                and (not key_range.end or name.key < key_range.end)
            ),
            key=lambda row: row.name.key.encode(),
        )
        page = rows.Page(
            tuple(matching_rows[: key_range.limit]),
            len(matching_rows) > key_range.limit,
            version,
            self.service.get_now_ms(),
        )
        await self._return_answer(call)
        return page

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        call = await self._send(CALL_TIMEOUT_S)
        names = {
            name.part
            for name in self.service.row_by_name
            if name.table == table
        }
        await self._return_answer(call)
        return tuple(sorted(names))

    async def transact(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction or return the conflict; raise TableError."""
        call = await self._send(CALL_TIMEOUT_S)
        await self.service.wait_for_part(transaction)
        if self.rng.random() < self.faults.late_writes:
            delay = self.rng.uniform(LATE_MIN_S, LATE_MAX_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self.service.apply, transaction)
            raise rows.TableError('no answer', True)
        outcome = self.service.apply(transaction)
        if self.rng.random() < self.faults.lose_answers:
            raise rows.TableError('no answer', True)
        await self._return_answer(call)
        return outcome

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> rows.Changes:
        """Wait for changes; raise HistoryLostError for an old version."""
        call = await self._send(wait_ms / 1000 + FOLLOW_MARGIN_S)
        deadline = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            if after < self.service.history_start:
                raise rows.HistoryLostError
            feed = self.service.get_feed(table)
            changed_rows = feed.get_after(after)
            remaining_s = deadline - asyncio.get_running_loop().time()
            if changed_rows or remaining_s < RESOLUTION_S:
                break
            await self._wait_for_change(feed, remaining_s)
        # A change made while the reply is in flight belongs to the next one.
        changes = rows.Changes(
            tuple(changed_rows),
            self.service.version,
            self.service.get_now_ms(),
        )
        await asyncio.sleep(ANSWER_S * self.faults.slowness)
        await self._return_answer(call)
        return changes

    async def _wait_for_change(self, feed: _Feed, remaining_s: float) -> None:
        try:
            async with asyncio.timeout(remaining_s):
                await feed.changed.wait()
        except TimeoutError:
            return

    async def _send(self, timeout_s: float) -> _Call:
        loop = asyncio.get_running_loop()
        call = _Call(loop.time(), timeout_s, self.connections_broken)
        self.service.calls += 1
        await asyncio.sleep(ANSWER_S * self.faults.slowness)
        if self.faults.reset:
            raise rows.TableError('reset', True)
        if self.faults.silent:
            await self._time_out(call)
        if self.faults.down or self.service.down:
            raise rows.TableError('status 503', False)
        return call

    async def _return_answer(self, call: _Call) -> None:
        if self.faults.reset:
            raise rows.TableError('reset', True)
        is_broken = self.connections_broken != call.connections_broken
        if self.faults.silent or self.faults.one_way or is_broken:
            await self._time_out(call)
        if self.faults.down or self.service.down:
            raise rows.TableError('status 503', False)

    async def _time_out(self, call: _Call) -> None:
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(call.sent_at + call.timeout_s - now, 0.0))
        raise rows.TableError('timeout', True)
