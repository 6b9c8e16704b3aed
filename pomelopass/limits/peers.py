"""Reserve requests to limited endpoints at peers, and answer such calls."""

from typing import Any

from . import allocator as allocators
from . import book as books
from ..edges import peercall
from ..fleet import member
from . import sharing
from ..wire.gen.permits import PermitAllocator
from ..wire.gen.permits import ttypes

__all__ = ['ThriftPeers', 'make_reserve_handler']

CONNECT_TIMEOUT_MS = 150.0
CALL_TIMEOUT_MS = 300.0


class ThriftPeers:
    """Client that calls the peer's relay address."""

    async def reserve(
        self,
        peer: member.Member,
        endpoint_id: str,
        limit: books.NamedLimit,
        count: int,
    ) -> allocators.Reservation:
        """Reserve requests at a peer; raise PeerFailedError."""
        try:
            connection = await peercall.connect(
                peer.relay_address, CONNECT_TIMEOUT_MS
            )
            reservation = await peercall.call_peer(
                connection,
                PermitAllocator.Client,
                lambda client: client.send_reserve(
                    endpoint_id, limit.per_s, limit.observed_ms, count
                ),
                lambda client: client.recv_reserve(),
                CALL_TIMEOUT_MS,
            )
        except peercall.CALL_ERRORS as error:
            raise sharing.PeerFailedError(type(error).__name__) from None
        return allocators.Reservation(reservation.count, reservation.wait_ms)


def make_reserve_handler(shared: sharing.LimitSharing):
    """Return a function that answers reservations of peers."""

    async def handle(arguments: Any) -> ttypes.Reservation:
        reservation = shared.allot(
            arguments.endpoint_id,
            books.NamedLimit(arguments.per_s, arguments.observed_ms),
            max(arguments.count, 1),
        )
        return ttypes.Reservation(reservation.count, reservation.wait_ms)

    return handle
