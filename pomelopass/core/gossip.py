"""Propagate small facts between instances as deltas that expire."""

import dataclasses

__all__ = ['Item', 'GossipState', 'add', 'get_since']

MAX_ITEMS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A fact; the key is unique within its kind."""

    kind: str
    key: str
    value: str
    expires_at_ms: float


@dataclasses.dataclass(slots=True)
class GossipState:
    """Live facts with sequence numbers, and the last one sent per peer."""

    last_number: int = 0
    by_key: dict[tuple[str, str], tuple[int, Item]] = dataclasses.field(
        default_factory=dict
    )
    sent_to_peer: dict[str, int] = dataclasses.field(default_factory=dict)


def add(state: GossipState, item: Item) -> bool:
    """Store an item; return whether it is new or changed."""
    item_key = (item.kind, item.key)
    previous = state.by_key.get(item_key)
    if previous is not None and previous[1].value == item.value:
        return False
    state.last_number += 1
    state.by_key.pop(item_key, None)
    state.by_key[item_key] = (state.last_number, item)
    if len(state.by_key) > MAX_ITEMS:
        state.by_key.pop(next(iter(state.by_key)))
    return True


def get_since(
    state: GossipState, peer: str, now_ms: float
) -> tuple[int, list[Item]]:
    """Return the live items that a peer has not confirmed yet."""
    _expire(state, now_ms)
    since = state.sent_to_peer.get(peer, 0)
    items = [item for number, item in state.by_key.values() if number > since]
    return state.last_number, items


def record_sent(state: GossipState, peer: str, number: int) -> None:
    """Record the last number that a peer has confirmed."""
    state.sent_to_peer[peer] = number


def forget_peer(state: GossipState, peer: str) -> None:
    """Remove a peer that is gone."""
    state.sent_to_peer.pop(peer, None)


def _expire(state: GossipState, now_ms: float) -> None:
    expired_keys = [
        item_key
        for item_key, (_, item) in state.by_key.items()
        if item.expires_at_ms <= now_ms
    ]
    for item_key in expired_keys:
        del state.by_key[item_key]
