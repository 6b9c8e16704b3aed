"""Spread small facts between instances as deltas that expire."""

import dataclasses

__all__ = ['Item', 'GossipState', 'add', 'get_since']

MAX_ITEMS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """Hold one fact; the key names it within its kind."""

    kind: str
    key: str
    value: str
    expires_at_ms: float


@dataclasses.dataclass(slots=True)
class GossipState:
    """Hold live facts and the order in which they came in."""

    last_number: int = 0
    by_key: dict[tuple[str, str], tuple[int, Item]] = dataclasses.field(
        default_factory=dict
    )
    sent_to_peer: dict[str, int] = dataclasses.field(default_factory=dict)


def add(state: GossipState, item: Item) -> bool:
    """Keep an item; return whether it tells something new."""
    name = (item.kind, item.key)
    known = state.by_key.get(name)
    if known is not None and known[1].value == item.value:
        return False
    state.last_number += 1
    state.by_key.pop(name, None)
    state.by_key[name] = (state.last_number, item)
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
    """Remember what a peer has confirmed."""
    state.sent_to_peer[peer] = number


def forget_peer(state: GossipState, peer: str) -> None:
    """Forget a peer that is gone."""
    state.sent_to_peer.pop(peer, None)


def _expire(state: GossipState, now_ms: float) -> None:
    old = [
        name
        for name, (_, item) in state.by_key.items()
        if item.expires_at_ms <= now_ms
    ]
    for name in old:
        del state.by_key[name]
