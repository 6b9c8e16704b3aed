"""Issue idempotency keys that only one incarnation may run."""

import dataclasses

__all__ = ['IssuedKey', 'find_issued_key', 'make_issued_key']

PREFIX = 'pk1'
LIFETIME_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedKey:
    """Fields of an issued key; expires_at_ms is on the clock of its issuer."""

    incarnation: str
    number: int
    expires_at_ms: int


def make_issued_key(incarnation: str, number: int, now_ms: float) -> str:
    """Return a new key; now_ms is on the clock of the incarnation.

    >>> make_issued_key('a1', 7, 0)
    'pk1~a1~7~600000'
    """
    return f'{PREFIX}~{incarnation}~{number}~{int(now_ms) + LIFETIME_MS}'


def find_issued_key(key: str) -> IssuedKey | None:
    """Parse an issued key; return None for any other key."""
    parts = key.split('~')
    if len(parts) != 4 or parts[0] != PREFIX:
        return None
    if not (parts[2].isdecimal() and parts[3].isdecimal()):
        return None
    return IssuedKey(parts[1], int(parts[2]), int(parts[3]))
