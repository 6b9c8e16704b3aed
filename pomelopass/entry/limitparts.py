"""Assemble what keeps an instance within the limits of endpoints."""

from collections import abc
import dataclasses

from ..fleet import member
from ..limits import book as limitbooks
from ..limits import observer
from ..limits import peers
from ..limits import permits as permitpools
from ..limits import sharing
from ..reporting import logevents
from ..requests import call as calls
from ..table import relayserver
from ..wire.gen.permits import PermitAllocator

__all__ = ['LimitParts', 'build_limit_parts']


@dataclasses.dataclass(frozen=True, slots=True)
class LimitParts:
    """Limits known to an instance, its permits, and the observed port."""

    book: limitbooks.LimitBook
    endpoints: observer.ObservedEndpoints
    sharing: sharing.LimitSharing
    permits: permitpools.PermitPool
    get_table_ms: abc.Callable[[], int]

    def get_row_value(self) -> bytes | None:
        """Return the limits to store with a heartbeat, or None."""
        limits = self.book.get_recent(self.get_table_ms())
        return limitbooks.encode_limits(limits) if limits else None

    def make_handlers(self) -> dict[str, relayserver.Handler]:
        """Return what answers the reservations of peers, by method."""
        handle = peers.make_reserve_handler(self.sharing)
        return {'reserve': relayserver.Handler(PermitAllocator, handle)}


def build_limit_parts(
    endpoint_port: calls.EndpointPort,
    permit_peers: sharing.PermitPeers,
    membership: member.Membership,
    get_table_ms: abc.Callable[[], int],
    write_event: logevents.WriteEvent,
) -> LimitParts:
    """Return the parts of an instance."""
    book = limitbooks.LimitBook()
    shared = sharing.LimitSharing(
        book, membership, permit_peers, get_table_ms, write_event
    )
    return LimitParts(
        book,
        observer.ObservedEndpoints(
            endpoint_port, book, get_table_ms, write_event
        ),
        shared,
        permitpools.PermitPool(book, shared.acquire, get_table_ms),
        get_table_ms,
    )
