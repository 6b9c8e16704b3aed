"""Bound the bytes that all connections of callers hold at a time."""

import asyncio
import collections
from collections import abc
import dataclasses
import time

__all__ = ['FREE_BYTES', 'CallerMemory', 'MemoryShortError', 'Share']

# Bodies and frames up to this size, about one read, are not accounted: the
# number of connections bounds them.
FREE_BYTES = 16_384
# Longest wait of a share. Callers give up a request that is not read for one
# second, and a refusal must reach them before that.
WAIT_MS = 400.0
# A share without progress for this long may be evicted.
STALL_MS = 400.0
# A share that still progresses may be evicted at this age.
MIN_AGE_MS = 1200.0


class MemoryShortError(Exception):
    """Signal that there is no memory for the bytes of a connection."""


class CallerMemory:
    """Account of the bytes that connections of callers hold.

    Shares that do not fit wait, while their connections are not read. If they
    still do not fit after WAIT_MS, the shares that progress least are evicted.
    """

    def __init__(
        self,
        max_bytes: float,
        get_now: abc.Callable[[], float] = time.monotonic,
    ):
        self.max_bytes = max_bytes
        self.get_now = get_now
        self.total = 0
        self.shares: set[Share] = set()
        self.waiting: collections.deque[_Waiter] = collections.deque()
        # Shares since the start that waited, were evicted or refused.
        self.count_by_outcome: collections.Counter[str] = collections.Counter()

    def open(self, evict: abc.Callable[[], None]) -> 'Share':
        """Return the share of a connection; evict frees its bytes."""
        share = Share(self, evict)
        self.shares.add(share)
        return share

    def fits(self, growth: int) -> bool:
        """Return whether that many more bytes can be held now."""
        return self.total + growth <= self.max_bytes

    def has_room(self, growth: int) -> bool:
        """Return whether a share can grow at once."""
        return not self.waiting and self.fits(growth)

    async def wait(self, share: 'Share', growth: int) -> None:
        """Hold more bytes for a share; raise MemoryShortError."""
        self.count_by_outcome['waited'] += 1
        waiter = _Waiter(share, growth)
        self.waiting.append(waiter)
        share.is_waiting = True
        try:
            async with asyncio.timeout(WAIT_MS / 1000):
                await waiter.done.wait()
        except TimeoutError:
            self._evict_until(waiter)
        finally:
            share.is_waiting = False
            if not waiter.done.is_set():
                self.waiting.remove(waiter)
                # Shares behind a waiter that timed out or was cancelled may
                # fit.
                self.admit()
        if not waiter.done.is_set():
            self.count_by_outcome['refused'] += 1
            raise MemoryShortError

    def admit(self) -> None:
        """Let waiting shares grow in the order of their arrival."""
        # Small shares do not overtake a large one, which would starve.
        while self.waiting and self.fits(self.waiting[0].growth):
            waiter = self.waiting.popleft()
            waiter.share.take(waiter.growth)
            waiter.done.set()

    def _evict_until(self, waiter: '_Waiter') -> None:
        while not waiter.done.is_set():
            victim = self.find_victim()
            if victim is None:
                return
            self.count_by_outcome['evicted'] += 1
            victim.drop()

    def find_victim(self) -> 'Share | None':
        """Return the share that progresses least, or None."""
        now = self.get_now()
        return min(
            (share for share in self.shares if share.is_evictable(now)),
            key=lambda share: (not share.is_stalled(now), share.get_rate(now)),
            default=None,
        )


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    share: 'Share'
    growth: int
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Share:
    """Bytes that one connection holds, and how they progress."""

    __slots__ = (
        'evict',
        'is_evicted',
        'is_waiting',
        'memory',
        'moved',
        'moved_at',
        'opened_at',
        'size',
    )

    def __init__(self, memory: CallerMemory, evict: abc.Callable[[], None]):
        self.memory = memory
        # None while the bytes are in use, as those of a running request.
        self.evict: abc.Callable[[], None] | None = evict
        self.size = 0
        self.is_waiting = False
        self.is_evicted = False
        # Bytes received or sent since the share was opened.
        self.moved = 0
        # Times of the opening and of the last progress, in seconds.
        self.opened_at = self.moved_at = memory.get_now()

    async def resize(self, size: int) -> None:
        """Hold that many bytes in all; raise MemoryShortError."""
        growth = size - self.size
        if self.is_evicted:
            raise MemoryShortError
        if growth <= 0 or self.memory.has_room(growth):
            self.take(growth)
        else:
            await self.memory.wait(self, growth)
            # The connection was not read: the caller could not progress.
            self.moved_at = self.memory.get_now()

    def take(self, growth: int) -> None:
        """Count more bytes, or fewer."""
        self.size += growth
        self.memory.total += growth
        if growth < 0:
            self.memory.admit()

    def record_progress(self, size: int) -> None:
        """Record bytes that were received or sent."""
        self.moved += size
        self.moved_at = self.memory.get_now()

    def is_stalled(self, now: float) -> bool:
        """Return whether nothing was received or sent for a while."""
        return (now - self.moved_at) * 1000 >= STALL_MS

    def get_rate(self, now: float) -> float:
        """Return the bytes received or sent a second."""
        return self.moved / max(now - self.opened_at, STALL_MS / 1000)

    def is_evictable(self, now: float) -> bool:
        """Return whether the share may be evicted."""
        if self.evict is None or self.is_waiting or not self.size:
            return False
        is_old = (now - self.opened_at) * 1000 >= MIN_AGE_MS
        return is_old or self.is_stalled(now)

    def drop(self) -> None:
        """Evict the share and free its bytes."""
        self.is_evicted = True
        evict = self.evict
        self.close()
        if evict is not None:
            evict()

    def close(self) -> None:
        """Free all bytes of the share."""
        self.evict = None
        self.memory.shares.discard(self)
        self.take(-self.size)
