"""Track the other instances and choose partners for gossip."""

import dataclasses

from . import rendezvous

__all__ = ['EntryView', 'PeerState', 'choose_partners', 'find_entries']

LOST_AFTER_MS = 8000
MAX_NEAR_PARTNERS = 4
MAX_FAR_PARTNERS = 2


@dataclasses.dataclass(slots=True)
class EntryView:
    """Last known state of another instance."""

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
    """Instances by incarnation."""

    by_incarnation: dict[str, EntryView] = dataclasses.field(
        default_factory=dict
    )


def record_heard(state: PeerState, view: EntryView) -> None:
    """Record the view of a peer; a stopping peer remains stopping."""
    previous = state.by_incarnation.get(view.incarnation)
    if previous is not None and previous.stopping:
        view.stopping = True
    if view.stopping:
        view.accepting = False
    state.by_incarnation[view.incarnation] = view


def find_live(state: PeerState, now_ms: float) -> list[EntryView]:
    """Return the instances heard from within LOST_AFTER_MS."""
    return [
        view
        for view in state.by_incarnation.values()
        if now_ms - view.heard_at_ms <= LOST_AFTER_MS
    ]


def forget_old(state: PeerState, now_ms: float) -> list[str]:
    """Remove instances lost for a long time; return their incarnations."""
    expired = [
        key
        for key, view in state.by_incarnation.items()
        if now_ms - view.heard_at_ms > 10 * LOST_AFTER_MS
    ]
    for key in expired:
        del state.by_incarnation[key]
    return expired


def find_entries(
    views: list[EntryView], zone: str, limit: int
) -> list[EntryView]:
    """Return up to limit accepting instances, those of the zone first."""
    accepting = [view for view in views if view.accepting]
    accepting.sort(
        key=lambda view: (view.availability_zone != zone, view.incarnation)
    )
    return accepting[:limit]


def choose_partners(
    own_id: str, own_zone: str, addresses_by_zone: dict[str, list[str]]
) -> list[str]:
    """Return the peer addresses to exchange digests with.

    Their number is independent of the size of the fleet, and several
    pairs of instances connect any two zones.
    """
    partners = []
    for zone, addresses in sorted(addresses_by_zone.items()):
        near = zone == own_zone
        count = MAX_NEAR_PARTNERS if near else MAX_FAR_PARTNERS
        ranked = rendezvous.rank(own_id, addresses)
        partners.extend(ranked[:count])
    return partners
