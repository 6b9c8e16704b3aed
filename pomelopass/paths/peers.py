"""Choose which peers to ask for a path to an endpoint."""

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
# Until then a peer that failed ranks behind those that did not.
FAILURE_TTL_MS = 10_000.0
# A peer that opened a connection this recently probably opens another.
SERVED_TTL_MS = 3000.0
MAX_FAILURES = 4096

NEVER = float('-inf')


class PeerBook:
    """Which peers opened connections to endpoints, and which did not.

    Times are those of the event loop in seconds.
    """

    def __init__(
        self,
        own_name: str,
        availability_zone: str,
        write_event: logevents.WriteEvent,
    ):
        self.own_name = own_name
        self.availability_zone = availability_zone
        self.write_event = write_event
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
            now - served_at < SERVED_TTL_MS / 1000
            for served_at in self.served_at_by_name.values()
        )

    def choose(
        self,
        endpoint_id: str,
        peers: list[member.Member],
        now: float,
        limit: int = MAX_PEERS,
    ) -> list[member.Member]:
        """Return the peers to ask for an endpoint, in this order.

        Of those that did not fail, one of the own zone comes first, then
        those of the others, since a zone may be cut off as a whole. The
        second is one that opened a connection just now: where nearly all
        peers are cut off as well, it is the only one known to help.
        """
        failed_at_by_name = {
            peer.name: self._get_failed_at(peer.name, endpoint_id, now)
            for peer in peers
        }
        peer_by_name = {
            peer.name: peer
            for peer in peers
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

    def _get_failed_at(self, name: str, endpoint_id: str, now: float) -> float:
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
        served_since = now - SERVED_TTL_MS / 1000
        helper = next(
            (
                peer
                for peer in order
                if self.served_at_by_name.get(peer.name, NEVER) > served_since
            ),
            None,
        )
        if helper is None or helper is order[0]:
            return order
        rest = [peer for peer in order[1:] if peer is not helper]
        return [order[0], helper, *rest]
