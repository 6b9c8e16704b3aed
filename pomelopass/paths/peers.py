"""Choose which peers to ask for a path to an endpoint."""

from collections import abc

from ..core import rendezvous
from ..fleet import member
from ..reporting import logevents

__all__ = [
    'ENDPOINT_UNREACHABLE',
    'MAX_PEERS',
    'PEER_BUSY',
    'PEER_CUT_OFF',
    'PeerBook',
]

# Kinds of failure that a peer names: it reaches no endpoint, it takes no
# tunnel, or it does not reach this endpoint.
PEER_CUT_OFF = 'peer-cut-off'
PEER_BUSY = 'peer-busy'
ENDPOINT_UNREACHABLE = 'endpoint-unreachable'

# Peers that are asked for one call.
MAX_PEERS = 3
# A peer is not asked again within this time after it failed.
BACKOFF_MS = 500.0
# Until then a peer that failed ranks behind those that did not; all of a large
# fleet are asked in this time.
FAILURE_TTL_MS = 60_000.0
# A peer that opened a connection this recently probably opens another.
SERVED_TTL_MS = 3000.0
MAX_FAILURES = 4096
# Peers that calls choose from, and how long the choice of these holds.
SHORTLIST_SIZE = 32
SHORTLIST_TTL_MS = 500.0

NEVER = float('-inf')


class PeerBook:
    """Which peers opened connections to endpoints, and which did not.

    Times are those of the event loop in seconds.
    """

    def __init__(
        self,
        own_name: str,
        availability_zone: str,
        get_peers: abc.Callable[[], list[member.Member]],
        write_event: logevents.WriteEvent,
    ):
        self.own_name = own_name
        self.availability_zone = availability_zone
        self.get_peers = get_peers
        self.write_event = write_event
        # Ranking all peers for each call costs too much in a large fleet.
        self.shortlist: list[member.Member] = []
        self.shortlisted_at = NEVER
        # By peer and endpoint; of any endpoint if that is None.
        self.failed_at_by_pair: dict[tuple[str, str | None], float] = {}
        self.served_at_by_name: dict[str, float] = {}

    def record_served(self, name: str, endpoint_id: str, now: float) -> None:
        """Record that a peer opened a connection to an endpoint."""
        self.failed_at_by_pair.pop((name, None), None)
        self.failed_at_by_pair.pop((name, endpoint_id), None)
        self.served_at_by_name[name] = now

    def record_failure(
        self, name: str, endpoint_id: str, kind: str, now: float
    ) -> None:
        """Record that a peer opened no connection, for the kind of reason."""
        self.write_event(
            logevents.PeerOpenedNoPath(
                peer=name, endpoint=endpoint_id, reason=kind
            )
        )
        if len(self.failed_at_by_pair) >= MAX_FAILURES:
            self.failed_at_by_pair.clear()
        if kind == ENDPOINT_UNREACHABLE:
            self.failed_at_by_pair[name, endpoint_id] = now
            return
        self.failed_at_by_pair[name, None] = now
        self.served_at_by_name.pop(name, None)

    def has_helper(self, now: float) -> bool:
        """Return whether some peer opened a connection just now."""
        return any(
            self._served_just_now(name, now) for name in self.served_at_by_name
        )

    def choose(
        self, endpoint_id: str, now: float, limit: int = MAX_PEERS
    ) -> list[member.Member]:
        """Return the peers to ask for an endpoint, in this order.

        Of those that did not fail, one of the own zone comes first, then
        those of the others, since a zone may be cut off as a whole. The
        second is one that opened a connection just now: where nearly all
        peers are cut off as well, it is the only one known to help.
        """
        if now - self.shortlisted_at >= SHORTLIST_TTL_MS / 1000:
            self._update_shortlist(now)
        failed_at_by_name = {
            peer.name: self._get_failed_at(peer.name, endpoint_id, now)
            for peer in self.shortlist
        }
        peer_by_name = {
            peer.name: peer
            for peer in self.shortlist
            if now - failed_at_by_name[peer.name] >= BACKOFF_MS / 1000
        }
        # Spreads over the peers; the same peer's connections are reused.
        key = f'{self.own_name}\0{endpoint_id}'
        ranked = [
            peer_by_name[name]
            for name in rendezvous.rank(key, list(peer_by_name))
        ]
        sound = [
            peer for peer in ranked if failed_at_by_name[peer.name] == NEVER
        ]
        failed = sorted(
            (peer for peer in ranked if failed_at_by_name[peer.name] != NEVER),
            key=lambda peer: failed_at_by_name[peer.name],
        )
        order = [*self._alternate_zones(sound), *failed]
        return self._advance_helper(order, now)[:limit]

    def _update_shortlist(self, now: float) -> None:
        """Keep peers that served, then those that did not fail, by rank."""
        self.served_at_by_name = {
            name: served_at
            for name, served_at in self.served_at_by_name.items()
            if self._served_just_now(name, now)
        }
        peer_by_name = {peer.name: peer for peer in self.get_peers()}
        names = rendezvous.rank(self.own_name, list(peer_by_name))
        names.sort(
            key=lambda name: (
                name not in self.served_at_by_name,
                self._get_failed_at(name, None, now),
            )
        )
        self.shortlist = [
            peer_by_name[name] for name in names[:SHORTLIST_SIZE]
        ]
        self.shortlisted_at = now

    def _served_just_now(self, name: str, now: float) -> bool:
        served_at = self.served_at_by_name.get(name, NEVER)
        return now - served_at < SERVED_TTL_MS / 1000

    def _get_failed_at(
        self, name: str, endpoint_id: str | None, now: float
    ) -> float:
        failed_at = max(
            self.failed_at_by_pair.get((name, None), NEVER),
            self.failed_at_by_pair.get((name, endpoint_id), NEVER),
        )
        is_old = now - failed_at >= FAILURE_TTL_MS / 1000
        return NEVER if is_old else failed_at

    def _alternate_zones(
        self, peers: list[member.Member]
    ) -> list[member.Member]:
        near = [
            peer
            for peer in peers
            if peer.availability_zone == self.availability_zone
        ]
        far = [
            peer
            for peer in peers
            if peer.availability_zone != self.availability_zone
        ]
        return [*near[:1], *far, *near[1:]]

    def _advance_helper(
        self, order: list[member.Member], now: float
    ) -> list[member.Member]:
        """Move a peer that served just now among the first two."""
        helper = next(
            (peer for peer in order if self._served_just_now(peer.name, now)),
            None,
        )
        if helper is None or helper is order[0]:
            return order
        rest = [peer for peer in order[1:] if peer is not helper]
        return [order[0], helper, *rest]
