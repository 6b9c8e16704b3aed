"""Define rows, reads and transactions of the partitioned table service."""

from collections import abc
import dataclasses
from typing import NamedTuple, Protocol

__all__ = [
    'Applied',
    'Changes',
    'Conflict',
    'HistoryLostError',
    'Key',
    'Page',
    'Range',
    'RepeatingTable',
    'Row',
    'RowTable',
    'TableError',
    'Transaction',
]

# Version expected of a row that does not exist.
ABSENT = 0


# Tuples: thousands of keys and rows are received and looked up each second.
class Key(NamedTuple):
    """Full name of a row."""

    table: str
    part: str
    key: str


class Row(NamedTuple):
    """A row; the value is None in the change that removed it."""

    name: Key
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """Key range of one part without its end; no limit if end is empty."""

    table: str
    part: str
    start: str = ''
    end: str = ''
    limit: int = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Rows read at a time of the service's monotonic clock."""

    rows: tuple[Row, ...]
    has_more: bool
    version: int
    now_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes to one part, applied if all expected versions match."""

    expected: tuple[tuple[Key, int], ...] = ()
    puts: tuple[tuple[Key, bytes], ...] = ()
    removes: tuple[Key, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Version and time of an applied transaction."""

    version: int
    now_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Current rows whose versions differ from the expected ones."""

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changed rows in order, and the version to continue from."""

    rows: tuple[Row, ...]
    version: int
    now_ms: int


class TableError(Exception):
    """Failed call; may_have_run if its write may have been applied.

    With is_overload the service has more calls than it can process.
    """

    def __init__(
        self, detail: str, may_have_run: bool, is_overload: bool = False
    ):
        super().__init__(detail)
        self.detail = detail
        self.may_have_run = may_have_run
        self.is_overload = is_overload


class HistoryLostError(Exception):
    """Missing history: the changes since a version were discarded."""


class RowTable(Protocol):
    """Client of the table service; every call may raise TableError."""

    async def read(self, key_range: Range) -> Page:
        """Return one page of a key range."""

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""

    async def transact(self, transaction: Transaction) -> Applied | Conflict:
        """Apply a transaction, or return the rows that conflict."""

    async def follow(self, table: str, after: int, wait_ms: int) -> Changes:
        """Wait for changes; raise HistoryLostError for an old version."""


class RepeatingTable(RowTable, Protocol):
    """Client of the table service that knows several paths to it."""

    async def transact_repeatable(
        self, transaction: Transaction
    ) -> Applied | Conflict:
        """Apply a transaction that may be applied twice without harm."""


async def read_all(
    table: RowTable, key_range: Range
) -> abc.AsyncIterator[tuple[Row, ...]]:
    """Yield the rows of a key range page by page."""
    start = key_range.start
    while True:
        page = await table.read(dataclasses.replace(key_range, start=start))
        yield page.rows
        if not page.has_more or not page.rows:
            return
        start = page.rows[-1].name.key + '\0'
