"""Describe rows, reads and transactions of the partitioned table service."""

from collections import abc
import dataclasses
from typing import Protocol

__all__ = [
    'Applied',
    'Changes',
    'Conflict',
    'HistoryLostError',
    'Key',
    'Page',
    'Range',
    'Row',
    'RowTable',
    'TableError',
    'Transaction',
]

ABSENT = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Name a row."""

    table: str
    part: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Hold a row; the value is None in the change that removed it."""

    name: Key
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """Select rows of one part by key; the end is excluded."""

    table: str
    part: str
    start: str = ''
    end: str = ''
    limit: int = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Hold rows as of one moment of the service's steady clock."""

    rows: tuple[Row, ...]
    has_more: bool
    version: int
    now_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Apply all writes of one part if all expected versions hold."""

    expected: tuple[tuple[Key, int], ...] = ()
    puts: tuple[tuple[Key, bytes], ...] = ()
    removes: tuple[Key, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Tell the version of an applied transaction."""

    version: int
    now_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Hold the present rows of an unmet condition."""

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Hold changed rows in order and the version to go on from."""

    rows: tuple[Row, ...]
    version: int
    now_ms: int


class TableError(Exception):
    """Tell that a call failed; a write may have been applied or not."""

    def __init__(self, detail: str, may_have_run: bool):
        super().__init__(detail)
        self.detail = detail
        self.may_have_run = may_have_run


class HistoryLostError(Exception):
    """Tell that the changes since a version are no longer kept."""


class RowTable(Protocol):
    """Use the table service; every call may raise TableError."""

    async def read(self, wanted: Range) -> Page:
        """Return rows of one part."""

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""

    async def transact(self, transaction: Transaction) -> Applied | Conflict:
        """Apply a transaction or return the rows that differ."""

    async def follow(self, table: str, after: int, wait_ms: int) -> Changes:
        """Wait for changes; raise HistoryLostError for an old version."""


async def read_all(
    table: RowTable, wanted: Range
) -> abc.AsyncIterator[tuple[Row, ...]]:
    """Yield the rows of a range page by page."""
    start = wanted.start
    while True:
        page = await table.read(dataclasses.replace(wanted, start=start))
        yield page.rows
        if not page.has_more or not page.rows:
            return
        start = page.rows[-1].name.key + '\0'
