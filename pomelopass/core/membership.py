"""Track endpoints by a delayed list and by reports of instances."""

import dataclasses

from . import endpoint
from . import rendezvous

__all__ = [
    'MembershipState',
    'apply_list',
    'find_subset',
    'find_usable',
    'is_leaving',
    'mark_leaving',
]

LEAVING_RETENTION_MS = 3_600_000
MAX_SUBSET = 64


@dataclasses.dataclass(slots=True)
class MembershipState:
    """Listed endpoints and the incarnations that are leaving."""

    list_number: int = -1
    by_key: dict[str, endpoint.Endpoint] = dataclasses.field(
        default_factory=dict
    )
    subset_by_pool: dict[str, list[endpoint.Endpoint]] = dataclasses.field(
        default_factory=dict
    )
    leaving_since_ms_by_key: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


def apply_list(
    state: MembershipState,
    number: int,
    listed: list[endpoint.Endpoint],
    now_ms: float,
) -> list[str]:
    """Apply a list and return the keys that are newly leaving.

    An older list has no effect, and no list makes a leaving incarnation
    usable again.
    """
    if number <= state.list_number:
        return []
    state.list_number = number
    state.by_key = {entry.key: entry for entry in listed}
    state.subset_by_pool.clear()
    newly_leaving = [
        entry.key
        for entry in listed
        if entry.leaving and mark_leaving(state, entry.key, now_ms)
    ]
    _expire_leaving(state, now_ms)
    return newly_leaving


def mark_leaving(state: MembershipState, key: str, now_ms: float) -> bool:
    """Mark an incarnation as leaving; return whether that was new."""
    if key in state.leaving_since_ms_by_key:
        return False
    state.leaving_since_ms_by_key[key] = now_ms
    state.subset_by_pool.clear()
    return True


def is_leaving(state: MembershipState, key: str) -> bool:
    """Return whether the incarnation is leaving and gets no new work."""
    return key in state.leaving_since_ms_by_key


def find_usable(state: MembershipState, pool: str) -> list[endpoint.Endpoint]:
    """Return the endpoints of a pool that may get new work."""
    return [
        entry
        for entry in state.by_key.values()
        if entry.pool == pool and not is_leaving(state, entry.key)
    ]


def find_subset(
    state: MembershipState, pool: str, own_id: str
) -> list[endpoint.Endpoint]:
    """Return the usable endpoints that one instance sends work to.

    Their number is bounded by MAX_SUBSET for any size of the pool.
    """
    cached = state.subset_by_pool.get(pool)
    if cached is not None:
        return cached
    by_key = {entry.key: entry for entry in find_usable(state, pool)}
    ranked = rendezvous.rank(own_id, list(by_key))
    subset = [by_key[key] for key in ranked[:MAX_SUBSET]]
    state.subset_by_pool[pool] = subset
    return subset


def _expire_leaving(state: MembershipState, now_ms: float) -> None:
    expired = [
        key
        for key, since_ms in state.leaving_since_ms_by_key.items()
        if key not in state.by_key and now_ms - since_ms > LEAVING_RETENTION_MS
    ]
    for key in expired:
        del state.leaving_since_ms_by_key[key]
