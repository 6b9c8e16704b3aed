"""Define rows and transactions of the table service."""

from __future__ import annotations

import dataclasses

from . import verdict

__all__ = ['Condition', 'Conflict', 'Put', 'Row', 'StoreFault', 'Transaction']

ABSENT = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row; its version increases with each write."""

    key: str
    value: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Require that a row has this version; ABSENT means no row."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write a row, or delete it when the value is None."""

    key: str
    value: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied only if all conditions hold."""

    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Keys of the rows that did not meet their condition."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFault:
    """Failure of a store call; the verdict states if it may have run."""

    verdict: verdict.Verdict
    detail: str
