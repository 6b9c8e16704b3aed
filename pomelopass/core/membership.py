"""Know the endpoints from a lagging list and from what instances see."""

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
    """Hold the endpoints and the incarnations known to be leaving."""

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
    """Take in a list and return the keys that newly turned out to leave.

    An older list changes nothing, and no list brings a leaving
    incarnation back.
    """
    if number <= state.list_number:
        return []
    state.list_number = number
    state.by_key = {one.key: one for one in listed}
    state.subset_by_pool.clear()
    fresh = [
        one.key
        for one in listed
        if one.leaving and mark_leaving(state, one.key, now_ms)
    ]
    _forget_old(state, now_ms)
    return fresh


def mark_leaving(state: MembershipState, key: str, now_ms: float) -> bool:
    """Mark an incarnation as leaving; return whether that was new."""
    if key in state.leaving_since_ms_by_key:
        return False
    state.leaving_since_ms_by_key[key] = now_ms
    state.subset_by_pool.clear()
    return True


def is_leaving(state: MembershipState, key: str) -> bool:
    """Say whether the incarnation must get no new work."""
    return key in state.leaving_since_ms_by_key


def find_usable(state: MembershipState, pool: str) -> list[endpoint.Endpoint]:
    """Return the endpoints of a pool that may get new work."""
    return [
        one
        for one in state.by_key.values()
        if one.pool == pool and not is_leaving(state, one.key)
    ]


def find_subset(
    state: MembershipState, pool: str, own_id: str
) -> list[endpoint.Endpoint]:
    """Return the usable endpoints that one instance spreads work over.

    Their number stays the same however large the pool is.
    """
    known = state.subset_by_pool.get(pool)
    if known is not None:
        return known
    by_key = {one.key: one for one in find_usable(state, pool)}
    ranked = rendezvous.rank(own_id, list(by_key))
    chosen = [by_key[key] for key in ranked[:MAX_SUBSET]]
    state.subset_by_pool[pool] = chosen
    return chosen


def _forget_old(state: MembershipState, now_ms: float) -> None:
    old = [
        key
        for key, since_ms in state.leaving_since_ms_by_key.items()
        if key not in state.by_key and now_ms - since_ms > LEAVING_RETENTION_MS
    ]
    for key in old:
        del state.leaving_since_ms_by_key[key]
