"""Adopt accepted configurations in ascending order of version."""

import dataclasses

__all__ = ['AdoptionState', 'Head', 'may_adopt', 'record_adopted']


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Head:
    """An accepted version and the digest of its text."""

    version: int
    digest: str


@dataclasses.dataclass(slots=True)
class AdoptionState:
    """The version in force on this instance and the highest one seen."""

    head: Head | None = None
    highest_seen: int = 0


def record_seen(state: AdoptionState, version: int) -> bool:
    """Record a version reported by a peer; return whether to fetch it."""
    state.highest_seen = max(state.highest_seen, version)
    return state.head is None or version > state.head.version


def may_adopt(state: AdoptionState, head: Head, marker_stored: bool) -> bool:
    """Return whether the version may come into force.

    The marker must be in the object store first, so that a starting
    instance finds the version while the table service is down.
    """
    if not marker_stored:
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
    """Return the version with which an instance may start, or None.

    Either store is sufficient: no version is in force on any instance
    before its marker is stored.
    """
    if table_answered:
        return table_head
    if markers_answered:
        return max(marker_heads, default=None)
    return None
