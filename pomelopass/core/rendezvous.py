"""Rank names for a key identically on all instances (rendezvous hashing)."""

import xxhash

__all__ = ['rank']


def rank(key: str, names: list[str]) -> list[str]:
    """Return the names ordered by their weight for the key."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode()),
    )
