"""Describe rows and transactions of the table service."""

from __future__ import annotations

import dataclasses

from . import verdict

__all__ = ['Condition', 'Conflict', 'Put', 'Row', 'StoreFault', 'Transaction']

ABSENT = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Hold a row; its version grows with each write."""

    key: str
    value: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Require a row at a version; version 0 means absent."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write a row, or delete it when the value is None."""

    key: str
    value: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Apply all writes when all conditions hold, else none."""

    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Tell which rows did not meet their condition."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFault:
    """Tell that a store call failed and whether it may have run."""

    verdict: verdict.Verdict
    detail: str
