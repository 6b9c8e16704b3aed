"""Bring an accepted configuration into force and never go back."""

import dataclasses

__all__ = ['AdoptionState', 'Head', 'may_adopt', 'record_adopted']


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Head:
    """Name one accepted version and the digest of its text."""

    version: int
    digest: str


@dataclasses.dataclass(slots=True)
class AdoptionState:
    """Hold the version in force on this instance."""

    head: Head | None = None
    highest_seen: int = 0


def record_seen(state: AdoptionState, version: int) -> bool:
    """Remember a version that a peer knows; return whether to fetch."""
    state.highest_seen = max(state.highest_seen, version)
    return state.head is None or version > state.head.version


def may_adopt(state: AdoptionState, head: Head, marker_kept: bool) -> bool:
    """Say whether the version may come into force.

    The marker in the object store must be kept first, so that a fresh
    instance finds the version while the table service is down.
    """
    if not marker_kept:
        return False
    return state.head is None or head.version > state.head.version


def record_adopted(state: AdoptionState, head: Head) -> None:
    """Record the version in force."""
    state.head = head
    state.highest_seen = max(state.highest_seen, head.version)


def choose_at_start(
    table_head: Head | None,
    table_answered: bool,
    marker_heads: list[Head],
    markers_answered: bool,
) -> Head | None:
    """Return the version with which a fresh instance may start.

    Either store is enough: no version is in force anywhere before its
    marker is kept.
    """
    if table_answered:
        return table_head
    if markers_answered:
        return max(marker_heads, default=None)
    return None
