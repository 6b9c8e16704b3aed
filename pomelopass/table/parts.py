"""Spread the keys of a table over parts."""

import xxhash

__all__ = ['choose_part', 'make_names']

COUNT = 16


def make_names(prefix: str) -> tuple[str, ...]:
    """Return the names of the parts with a prefix."""
    return tuple(f'{prefix}{number:02d}' for number in range(COUNT))


def choose_part(prefix: str, key: str) -> str:
    """Return the part of a key; the choice never changes."""
    return f'{prefix}{xxhash.xxh3_64_intdigest(key.encode()) % COUNT:02d}'
