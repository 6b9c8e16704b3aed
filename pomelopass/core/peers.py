"""Know the other instances and choose a few to talk to."""

import dataclasses

from . import rendezvous

__all__ = ['EntryView', 'PeerState', 'choose_partners', 'find_entries']

LOST_AFTER_MS = 8000
MAX_NEAR_PARTNERS = 4
MAX_FAR_PARTNERS = 2


@dataclasses.dataclass(slots=True)
class EntryView:
    """Hold what is known of another instance."""

    incarnation: str
    caller_address: str
    peer_address: str
    operator_address: str
    availability_zone: str
    accepting: bool
    stopping: bool
    config_version: int
    heard_at_ms: float


@dataclasses.dataclass(slots=True)
class PeerState:
    """Hold the instances by incarnation."""

    by_incarnation: dict[str, EntryView] = dataclasses.field(
        default_factory=dict
    )


def record_heard(state: PeerState, view: EntryView) -> None:
    """Take in the digest of a peer; a stopping one never comes back."""
    known = state.by_incarnation.get(view.incarnation)
    if known is not None and known.stopping:
        view.stopping = True
    if view.stopping:
        view.accepting = False
    state.by_incarnation[view.incarnation] = view


def find_live(state: PeerState, now_ms: float) -> list[EntryView]:
    """Return the instances that were heard of lately."""
    return [
        view
        for view in state.by_incarnation.values()
        if now_ms - view.heard_at_ms <= LOST_AFTER_MS
    ]


def forget_old(state: PeerState, now_ms: float) -> list[str]:
    """Drop instances not heard of for long; return their incarnations."""
    old = [
        key
        for key, view in state.by_incarnation.items()
        if now_ms - view.heard_at_ms > 10 * LOST_AFTER_MS
    ]
    for key in old:
        del state.by_incarnation[key]
    return old


def find_entries(
    views: list[EntryView], zone: str, limit: int
) -> list[EntryView]:
    """Return accepting instances, those of the zone first."""
    accepting = [one for one in views if one.accepting]
    accepting.sort(
        key=lambda one: (one.availability_zone != zone, one.incarnation)
    )
    return accepting[:limit]


def choose_partners(
    own_id: str, own_zone: str, addresses_by_zone: dict[str, list[str]]
) -> list[str]:
    """Return the peer addresses to exchange digests with.

    The number stays the same however large the fleet is, and every zone
    border is crossed by several pairs.
    """
    partners = []
    for zone, addresses in sorted(addresses_by_zone.items()):
        near = zone == own_zone
        count = MAX_NEAR_PARTNERS if near else MAX_FAR_PARTNERS
        ranked = rendezvous.rank(own_id, addresses)
        partners.extend(ranked[:count])
    return partners
