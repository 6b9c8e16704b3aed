"""Bound the connections that one listening address serves."""

import asyncio
import collections
from collections import abc
import math
import time

__all__ = ['ConnectionLimit', 'Slot']

# Share of all connections that one client address may have. A proxy in front
# of all callers has one address.
ADDRESS_SHARE = 0.8
# Connections that are idle for less are not evicted: a caller sends its
# request, and a peer its frame, within this time.
MIN_IDLE_MS = 1000.0


class Slot:
    """Place of one connection."""

    __slots__ = ('address', 'evict', 'idle_since', 'is_pipelining', 'is_used')

    def __init__(
        self, address: str, evict: abc.Callable[[], None], idle_since: float
    ):
        self.address = address
        self.evict = evict
        self.idle_since = idle_since
        # Whether it carried a request.
        self.is_used = False
        # Whether it sent further requests before the last was answered.
        self.is_pipelining = False


class ConnectionLimit:
    """Places for connections, with a share for each client address.

    Where none is free, an idle connection is evicted for a new one: the oldest
    that sent no request yet, else the one that is idle for longest. Those that
    stopped within a request or read no response are idle as well.
    Pipelining connections may be evicted between two requests, however short
    they are idle.
    """

    def __init__(
        self,
        max_connections: int,
        get_now: abc.Callable[[], float] = time.monotonic,
    ):
        self.max_connections = max_connections
        self.get_now = get_now
        self.slots: set[Slot] = set()
        # Slots without a whole request, the longest idle first.
        self.idle: dict[Slot, None] = {}
        self.count_by_address: collections.Counter[str] = collections.Counter()
        # Connections since the start that were accepted, refused or evicted.
        self.count_by_outcome: collections.Counter[str] = collections.Counter()

    def admit(self, writer: asyncio.StreamWriter) -> Slot | None:
        """Return the slot of a new connection, or None if there is none."""
        self.count_by_outcome['accepted'] += 1
        peer = writer.get_extra_info('peername')
        address = peer[0] if peer else ''
        if self._is_full(address):
            self._evict_idle(address)
        if self._is_full(address):
            self.count_by_outcome['refused'] += 1
            return None
        slot = Slot(address, writer.transport.abort, self.get_now())
        self.slots.add(slot)
        self.idle[slot] = None
        self.count_by_address[address] += 1
        return slot

    def begin_use(self, slot: Slot) -> None:
        """Record that a connection carries a request."""
        slot.is_used = True
        self.idle.pop(slot, None)

    def end_use(self, slot: Slot) -> None:
        """Record the end of a request, or that a part of one arrived."""
        if slot in self.slots:
            slot.idle_since = self.get_now()
            self.idle.pop(slot, None)
            self.idle[slot] = None

    def release(self, slot: Slot) -> None:
        """Free the place of a connection that ended."""
        if slot not in self.slots:
            return
        self.slots.discard(slot)
        self.idle.pop(slot, None)
        self.count_by_address[slot.address] -= 1
        if not self.count_by_address[slot.address]:
            del self.count_by_address[slot.address]

    def _is_full(self, address: str) -> bool:
        is_full = len(self.slots) >= self.max_connections
        return is_full or self._has_whole_share(address)

    def _has_whole_share(self, address: str) -> bool:
        share = math.ceil(ADDRESS_SHARE * self.max_connections)
        return self.count_by_address[address] >= share

    def _evict_idle(self, address: str) -> None:
        victim = self._find_victim(
            address if self._has_whole_share(address) else None
        )
        if victim is not None:
            self.count_by_outcome['evicted'] += 1
            self.release(victim)
            victim.evict()

    def _find_victim(self, address: str | None) -> Slot | None:
        latest = self.get_now() - MIN_IDLE_MS / 1000
        victim = None
        for slot in self.idle:
            if address not in (None, slot.address) or (
                slot.idle_since > latest and not slot.is_pipelining
            ):
                continue
            if not slot.is_used:
                return slot
            victim = victim or slot
        return victim
