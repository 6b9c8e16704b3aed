"""Share the limit of each endpoint among all instances."""

import asyncio
from collections import abc
from typing import Protocol

from . import allocator as allocators
from . import book as books
from ..core import rendezvous
from ..fleet import member
from ..reporting import logevents

__all__ = ['LimitSharing', 'PeerFailedError', 'PermitPeers']

# Instances asked in turn for an endpoint's permits.
MAX_ASKED = 2
# Part of a limit that an instance allots in place of the first one.
SECONDARY_SHARE = 0.25
# Time for which an instance that did not answer is not asked again.
PEER_BACKOFF_MS = 1000.0


class PeerFailedError(Exception):
    """Raised when a peer does not answer a reservation."""


class PermitPeers(Protocol):
    """Client for reservations at other instances."""

    async def reserve(
        self,
        peer: member.Member,
        endpoint_id: str,
        limit: books.NamedLimit,
        count: int,
    ) -> allocators.Reservation:
        """Reserve requests at a peer; raise PeerFailedError."""


class LimitSharing:
    """Reserve requests at the instance that allots those of an endpoint.

    All instances rank the live ones alike for each endpoint; the first one
    allots. While it does not answer, the second one allots a part, and an
    instance that reaches neither has a small part of its own, so that the sum
    stays near the limit whoever can't reach whom.
    """

    def __init__(
        self,
        book: books.LimitBook,
        membership: member.Membership,
        peers: PermitPeers,
        get_table_ms: abc.Callable[[], int],
        write_event: logevents.WriteEvent,
    ):
        self.write_event = write_event
        self.book = book
        self.membership = membership
        self.peers = peers
        self.get_table_ms = get_table_ms
        self.allocator = allocators.Allocator()
        # Used while no peer answers.
        self.own_allocator = allocators.Allocator()
        self.backoff_until_by_name: dict[str, float] = {}

    async def acquire(
        self, endpoint_id: str, per_s: float, count: int
    ) -> allocators.Reservation:
        """Reserve requests for this instance."""
        limit = self.book.limit_by_endpoint.get(endpoint_id)
        if limit is None:
            # It has expired since the permit was requested.
            return allocators.Reservation(count, 0.0)
        ranked = self._rank(endpoint_id)
        for name in ranked[:MAX_ASKED]:
            if name == self.membership.own_name:
                return self.allot(endpoint_id, limit, count)
            now = asyncio.get_running_loop().time()
            if now < self.backoff_until_by_name.get(name, 0.0):
                continue
            try:
                return await self.peers.reserve(
                    self.membership.member_by_name[name],
                    endpoint_id,
                    limit,
                    count,
                )
            except PeerFailedError as error:
                self.write_event(
                    logevents.PermitNotReserved(
                        endpoint=endpoint_id, peer=name, detail=str(error)
                    )
                )
                self.backoff_until_by_name[name] = now + PEER_BACKOFF_MS / 1000
        now = asyncio.get_running_loop().time()
        own_per_s = per_s * SECONDARY_SHARE / max(len(ranked), 1)
        return self.own_allocator.reserve(endpoint_id, own_per_s, 1, now)

    def allot(
        self, endpoint_id: str, limit: books.NamedLimit, count: int
    ) -> allocators.Reservation:
        """Allot requests to this instance or to a peer that asks."""
        self.book.merge({endpoint_id: limit})
        per_s = self.book.get_rate(endpoint_id, self.get_table_ms())
        if per_s is None:
            # A newer answer than the asker's names no limit.
            return allocators.Reservation(count, 0.0)
        ranked = self._rank(endpoint_id)
        if not ranked or ranked[0] != self.membership.own_name:
            per_s *= SECONDARY_SHARE
        now = asyncio.get_running_loop().time()
        return self.allocator.reserve(endpoint_id, per_s, count, now)

    def _rank(self, endpoint_id: str) -> list[str]:
        now = asyncio.get_running_loop().time()
        alive = self.membership.get_alive(now)
        return rendezvous.rank(endpoint_id, [peer.name for peer in alive])
